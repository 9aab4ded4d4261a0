//! Who listens where, and the settings of each process.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use pond_process::Error;
use pond_proto::{Labels, Presence, Vm};
use pond_settings::{
    Control, EndpointProcess, Entry, Installation, Limits, Listen, Log, Process, Replica, Role,
    VmGroup,
};

/// What a user may choose for a local installation.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The data folder; a temporary one if none is given.
    pub data_folder: Option<PathBuf>,
    /// How the processes log.
    pub log: Log,
    /// The first port for operators; callers' ports start ten higher. Free ports if none is given.
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
    /// The VMs as the platform will list them.
    pub vms: Vec<Vm>,
    /// Where the platform's list is.
    pub list: SocketAddr,
}

/// How far callers' ports are above operators' ports.
const CALLERS_ABOVE: u16 = 10;

/// The first port that is tried on an installation's own address.
const FIRST_OWN_PORT: u16 = 10_000;

/// Hands out addresses, each once.
///
/// Each installation has a loopback address of its own, so that its ports are not taken by
/// another one that starts at the same time.
#[derive(Debug)]
struct Ports {
    host: Ipv4Addr,
    next: u16,
}

impl Ports {
    fn new() -> Ports {
        let [a, b, c, _] = rand::random::<[u8; 4]>();
        let host = Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254));
        Ports { host, next: FIRST_OWN_PORT }
    }

    /// The next address that is free now.
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

    /// An address that users see: a chosen port, or a free one.
    fn shown(&mut self, port: Option<u16>) -> Result<SocketAddr, Error> {
        match port {
            None => self.free(),
            Some(port) => Ok(([127, 0, 0, 1], port).into()),
        }
    }
}

impl Plan {
    /// Plans an installation whose durable files are under `folder`.
    ///
    /// # Errors
    /// [`Error::Listen`] if there are no free ports.
    pub fn new(
        installation: &Installation,
        options: &Options,
        folder: &Path,
    ) -> Result<Plan, Error> {
        let mut ports = Ports::new();
        let port = |above: u16, i: u32| options.first_port.map(|first| first + above + i as u16);
        let centre = |i: usize| {
            let centres = &installation.data_centres;
            centres[i % centres.len()].name.clone()
        };
        let entry_addresses: Vec<SocketAddr> = (0..installation.entries)
            .map(|i| ports.shown(port(CALLERS_ABOVE, i)))
            .collect::<Result<_, _>>()?;
        let replicas: Vec<Replica> = (0..installation.control)
            .map(|i| replica(&mut ports, i, port(0, i)))
            .collect::<Result<_, _>>()?;
        let list = ports.free()?;
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
                platform: list,
                lease: installation.lease,
                operator_tokens: None,
            });
            process(replica.name.clone(), centre(i), role)
        });
        let entries = entry_addresses.iter().enumerate().map(|(i, address)| {
            let role = Role::Entry(Entry { callers: *address, default_deadline_ms: 10_000 });
            process(format!("entry-{}", i + 1), centre(i), role)
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
            list,
        })
    }
}

fn replica(ports: &mut Ports, i: u32, port: Option<u16>) -> Result<Replica, Error> {
    let name = format!("control-{}", i + 1);
    Ok(Replica { name, internal: ports.free()?, operator: ports.shown(port)? })
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

/// One VM. Racks are filled one after the other; the racks go round the data centres.
fn plan_vm(
    installation: &Installation,
    group: &VmGroup,
    i: u32,
    ports: &mut Ports,
) -> Result<Vm, Error> {
    let rack = i / group.per_rack;
    let centres = &installation.data_centres;
    let centre = &centres[rack as usize % centres.len()].name;
    let mut labels: Labels = group.labels.clone();
    labels.insert(Vm::DATA_CENTRE.to_owned(), centre.clone());
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
