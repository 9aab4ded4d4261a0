//! A whole small installation for `pondbay local`.

use pond_proto::{Labels, Size, Unit};

use crate::process::read_lease;
use crate::unit_file::{self, read_size};
use crate::{Lease, Node, Reader};

/// An installation that runs in one process on loopback.
#[derive(Clone, Debug)]
pub struct Installation {
    /// Its name.
    pub name: String,
    /// Its data centres.
    pub data_centres: Vec<DataCentre>,
    /// Number of control replicas: 1, 3 or 5.
    pub control: u32,
    /// Number of entries.
    pub entries: u32,
    /// Times of leases on workers.
    pub lease: Lease,
    /// How late the platform's VM list is, in milliseconds.
    pub list_lag_ms: u64,
    /// How late usage reports are, in milliseconds.
    pub usage_lag_ms: u64,
    /// The VMs, by group.
    pub vms: Vec<VmGroup>,
    /// What is created at the start.
    pub units: Vec<Unit>,
}

/// One data centre.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name; the value of its VMs' label `data-centre`.
    pub name: String,
}

/// Some VMs that are alike, spread over the data centres in turn.
#[derive(Clone, Debug)]
pub struct VmGroup {
    /// First part of their names.
    pub name: String,
    /// How many.
    pub count: u32,
    /// How many stand in one rack.
    pub per_rack: u32,
    /// What each has to give.
    pub size: Size,
    /// Labels of each.
    pub labels: Labels,
}

/// Reads an installation file from its top mapping.
pub(crate) fn read(reader: &Reader<'_>) -> Installation {
    let counts = [("1", 1), ("3", 3), ("5", 5)];
    Installation {
        name: reader.name("installation"),
        data_centres: read_data_centres(reader),
        control: reader.choice_or("control_replicas", &counts, 3),
        entries: reader.number_or("entries", 1..=16, 2) as u32,
        lease: reader.map_opt("lease").map(|map| read_lease(&map)).unwrap_or_default(),
        list_lag_ms: reader.number_or("list_lag_ms", 0..=600_000, 2_000),
        usage_lag_ms: reader.number_or("usage_lag_ms", 0..=600_000, 5_000),
        vms: reader.list_needed("vms").iter().map(|node| read_group(node, reader)).collect(),
        units: unit_file::read(reader),
    }
}

fn read_data_centres(reader: &Reader<'_>) -> Vec<DataCentre> {
    reader.list_needed("data_centres");
    reader.texts("data_centres").into_iter().map(|name| DataCentre { name }).collect()
}

fn read_group(node: &Node, parent: &Reader<'_>) -> VmGroup {
    let reader = Reader::new(node, parent.findings());
    let group = VmGroup {
        name: reader.name("name"),
        count: reader.number("count", 1..=64) as u32,
        per_rack: reader.number_or("per_rack", 1..=64, 3) as u32,
        size: reader.map("size").map(|map| read_size(&map)).unwrap_or_default(),
        labels: reader.words("labels").into_iter().collect(),
    };
    reader.finish();
    group
}
