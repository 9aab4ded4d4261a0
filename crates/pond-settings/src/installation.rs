//! Installation files for `pondbay local`.

use pond_proto::{Labels, Size, Unit};

use crate::process::read_lease;
use crate::unit_file::{self, read_size};
use crate::{Lease, Node, Reader};

/// An installation that runs in one process on loopback.
#[derive(Clone, Debug)]
pub struct Installation {
    /// Name of the installation.
    pub name: String,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Number of control replicas: 1, 3 or 5.
    pub control: u32,
    /// Number of entries.
    pub entries: u32,
    /// Lease timing of workers.
    pub lease: Lease,
    /// Delay of the platform's VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Delay of usage reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// Groups of VMs.
    pub vms: Vec<VmGroup>,
    /// Units created at the start.
    pub units: Vec<Unit>,
}

/// A data centre.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Name, and value of the label `data-centre` on its VMs.
    pub name: String,
}

/// A group of identical VMs, distributed over the data centres in turn.
#[derive(Clone, Debug)]
pub struct VmGroup {
    /// Prefix of the VM names.
    pub name: String,
    /// Number of VMs.
    pub count: u32,
    /// Number of VMs per rack.
    pub per_rack: u32,
    /// Resources of each VM.
    pub size: Size,
    /// Labels of each VM.
    pub labels: Labels,
}

/// Reads an installation file from its top-level mapping.
pub(crate) fn read(reader: &Reader<'_>) -> Installation {
    let counts = [("1", 1), ("3", 3), ("5", 5)];
    Installation {
        name: reader.name("installation"),
        data_centres: read_data_centres(reader),
        control: reader.choice_or("control_replicas", &counts, 3),
        entries: reader.number_or("entries", 1..=16, 2) as u32,
        lease: reader.optional_map("lease").map(|map| read_lease(&map)).unwrap_or_default(),
        list_lag_ms: reader.number_or("list_lag_ms", 0..=600_000, 2_000),
        usage_lag_ms: reader.number_or("usage_lag_ms", 0..=600_000, 5_000),
        vms: reader.required_list("vms").iter().map(|node| read_group(node, reader)).collect(),
        units: unit_file::read(reader),
    }
}

fn read_data_centres(reader: &Reader<'_>) -> Vec<DataCentre> {
    reader.required_list("data_centres");
    reader.strings("data_centres").into_iter().map(|name| DataCentre { name }).collect()
}

fn read_group(node: &Node, parent: &Reader<'_>) -> VmGroup {
    let reader = Reader::new(node, parent.findings());
    let group = VmGroup {
        name: reader.name("name"),
        count: reader.number("count", 1..=64) as u32,
        per_rack: reader.number_or("per_rack", 1..=64, 3) as u32,
        size: reader.map("size").map(|map| read_size(&map)).unwrap_or_default(),
        labels: reader.string_map("labels").into_iter().collect(),
    };
    reader.finish();
    group
}
