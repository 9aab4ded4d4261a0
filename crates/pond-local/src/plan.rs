//! Listen addresses and settings of all processes.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use pond_process::Error;
use pond_proto::{Labels, Presence, Vm};
use pond_settings::{
    Control, EndpointProcess, Entry, Installation, Limits, Listen, Log, Process, Replica, Role,
    VmGroup,
};

/// User options of a local installation.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Data folder; `None` for a temporary one.
    pub data_folder: Option<PathBuf>,
    /// Log settings of all processes.
    pub log: Log,
    /// First port for operators; the ports for callers start ten higher. `None` for any free ports.
    pub first_port: Option<u16>,
}

/// The settings of all processes, and the VMs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control replicas.
    pub control: Vec<Process>,
    /// Entries.
    pub entries: Vec<Process>,
    /// Endpoint processes, one for each VM.
    pub endpoints: Vec<Process>,
    /// VMs as listed by the platform.
    pub vms: Vec<Vm>,
    /// Address of the platform's VM list.
    pub list_address: SocketAddr,
}

/// Offset of the ports for callers from the ports for operators.
const CALLER_PORT_OFFSET: u16 = 10;

/// First port tried on the installation's own loopback address.
const FIRST_FREE_PORT: u16 = 10_000;

/// Allocates listen addresses, each at most once.
///
/// Each installation uses a random loopback address of its own, so that installations that start
/// at the same time do not compete for ports.
#[derive(Debug)]
struct Ports {
    host: Ipv4Addr,
    next: u16,
}

impl Ports {
    fn new() -> Ports {
        let [a, b, c, _] = rand::random::<[u8; 4]>();
        let host = Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254));
        Ports { host, next: FIRST_FREE_PORT }
    }

    /// Returns the next free address.
    fn free(&mut self) -> Result<SocketAddr, Error> {
        loop {
            let address = SocketAddr::from((self.host, self.next));
            self.next += 1;
            match TcpListener::bind(address) {
                Ok(_) => return Ok(address),
                Err(error) if error.kind() == ErrorKind::AddrInUse && self.next < u16::MAX => {}
                Err(source) => {
                    return Err(Error::Listen { address: address.to_string(), source });
                }
            }
        }
    }

    /// Returns an address for users: the chosen port on 127.0.0.1, or a free address.
    fn user_facing(&mut self, port: Option<u16>) -> Result<SocketAddr, Error> {
        match port {
            None => self.free(),
            Some(port) => Ok(([127, 0, 0, 1], port).into()),
        }
    }
}

impl Plan {
    /// Plans an installation that keeps its durable files under `folder`.
    ///
    /// # Errors
    /// [`Error::Listen`] if no port is free.
    pub fn new(
        installation: &Installation,
        options: &Options,
        folder: &Path,
    ) -> Result<Plan, Error> {
        let mut ports = Ports::new();
        let port = |offset: u16, i: u32| options.first_port.map(|first| first + offset + i as u16);
        let data_centre = |i: usize| {
            let data_centres = &installation.data_centres;
            data_centres[i % data_centres.len()].name.clone()
        };
        let entry_addresses: Vec<SocketAddr> = (0..installation.entries)
            .map(|i| ports.user_facing(port(CALLER_PORT_OFFSET, i)))
            .collect::<Result<_, _>>()?;
        let replicas: Vec<Replica> = (0..installation.control)
            .map(|i| replica(&mut ports, i, port(0, i)))
            .collect::<Result<_, _>>()?;
        let list_address = ports.free()?;
        let process = |name: String, data_centre: String, role: Role| Process {
            name,
            data_centre,
            replicas: replicas.clone(),
            role,
            limits: Limits::default(),
            log: options.log,
            metrics: None,
            token_file: None,
        };
        let control = replicas.iter().enumerate().map(|(i, replica)| {
            let role = Role::Control(Control {
                listen: Listen { internal: replica.internal, operator: replica.operator },
                data_folder: folder.join(&replica.name),
                platform: list_address,
                lease: installation.lease,
                operator_tokens: None,
            });
            process(replica.name.clone(), data_centre(i), role)
        });
        let entries = entry_addresses.iter().enumerate().map(|(i, address)| {
            let role = Role::Entry(Entry { callers: *address, default_deadline_ms: 10_000 });
            process(format!("entry-{}", i + 1), data_centre(i), role)
        });
        let vms = plan_vms(installation, &mut ports)?;
        let endpoints = vms.iter().map(|vm| {
            let parsed = vm.endpoint_process.as_deref().and_then(|address| address.parse().ok());
            let internal = parsed.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
            let role = Role::Endpoint(EndpointProcess { internal });
            process(format!("endpoint-{}", vm.name), vm.data_centre().to_owned(), role)
        });
        Ok(Plan {
            control: control.collect(),
            entries: entries.collect(),
            endpoints: endpoints.collect(),
            vms: vms.clone(),
            list_address,
        })
    }
}

fn replica(ports: &mut Ports, i: u32, port: Option<u16>) -> Result<Replica, Error> {
    let name = format!("control-{}", i + 1);
    Ok(Replica { name, internal: ports.free()?, operator: ports.user_facing(port)? })
}

fn plan_vms(installation: &Installation, ports: &mut Ports) -> Result<Vec<Vm>, Error> {
    let mut vms = Vec::new();
    for group in &installation.vms {
        for i in 0..group.count {
            vms.push(plan_vm(installation, group, i, ports)?);
        }
    }
    Ok(vms)
}

/// Plans the VM with index `i` of a group. Racks are filled one after another and assigned to the
/// data centres round-robin.
fn plan_vm(
    installation: &Installation,
    group: &VmGroup,
    i: u32,
    ports: &mut Ports,
) -> Result<Vm, Error> {
    let rack = i / group.per_rack;
    let data_centres = &installation.data_centres;
    let data_centre = &data_centres[rack as usize % data_centres.len()].name;
    let mut labels: Labels = group.labels.clone();
    labels.insert(Vm::DATA_CENTRE.to_owned(), data_centre.clone());
    labels.insert(Vm::RACK.to_owned(), format!("{}-rack-{}", group.name, rack + 1));
    Ok(Vm {
        name: format!("{}-{}", group.name, i + 1),
        labels,
        size: group.size,
        worker: ports.free()?.to_string(),
        endpoint_process: Some(ports.free()?.to_string()),
        presence: Presence::Live,
    })
}
