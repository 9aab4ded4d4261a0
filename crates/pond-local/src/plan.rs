//! Who listens where, and the settings of each process.

use std::net::{SocketAddr, TcpListener};
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

/// An address that users see: a chosen port, or a free one.
fn shown_address(port: Option<u16>) -> Result<SocketAddr, Error> {
    match port {
        None => free_address(),
        Some(port) => Ok(([127, 0, 0, 1], port).into()),
    }
}

/// An address on loopback that is free now.
fn free_address() -> Result<SocketAddr, Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let failed = |source| Error::Listen { address: any.to_string(), source };
    let listener = TcpListener::bind(any).map_err(failed)?;
    listener.local_addr().map_err(failed)
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
        let port = |above: u16, i: u32| options.first_port.map(|first| first + above + i as u16);
        let centre = |i: usize| {
            let centres = &installation.data_centres;
            centres[i % centres.len()].name.clone()
        };
        let entry_addresses: Vec<SocketAddr> = (0..installation.entries)
            .map(|i| shown_address(port(CALLERS_ABOVE, i)))
            .collect::<Result<_, _>>()?;
        let replicas: Vec<Replica> =
            (0..installation.control).map(|i| replica(i, port(0, i))).collect::<Result<_, _>>()?;
        let list = free_address()?;
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
        let vms = plan_vms(installation)?;
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

fn replica(i: u32, port: Option<u16>) -> Result<Replica, Error> {
    let name = format!("control-{}", i + 1);
    Ok(Replica { name, internal: free_address()?, operator: shown_address(port)? })
}

fn plan_vms(installation: &Installation) -> Result<Vec<Vm>, Error> {
    let mut vms = Vec::new();
    for group in &installation.vms {
        for i in 0..group.count {
            vms.push(plan_vm(installation, group, i)?);
        }
    }
    Ok(vms)
}

/// One VM. Racks are filled one after the other; the racks go round the data centres.
fn plan_vm(installation: &Installation, group: &VmGroup, i: u32) -> Result<Vm, Error> {
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
        worker: free_address()?.to_string(),
        endpoint_process: Some(free_address()?.to_string()),
        presence: Presence::Live,
    })
}
