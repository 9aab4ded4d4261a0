//! Which VMs a unit may run on, and how good each is.

use std::collections::BTreeMap;

use pond_proto::{Labels, Size, Unit, UnitName, VmKey};
use pond_state::{State, VmRecord};

use crate::miss::Reason;

/// Room and units that this plan has given out already.
#[derive(Debug, Default)]
pub struct Given {
    room: BTreeMap<VmKey, Size>,
    units: BTreeMap<VmKey, Vec<UnitName>>,
    teams: BTreeMap<String, Size>,
}

impl Given {
    /// Takes note of a placement.
    pub fn add(&mut self, vm: VmKey, unit: &Unit) {
        let room = self.room.entry(vm).or_default();
        *room = room.plus(unit.size);
        self.units.entry(vm).or_default().push(unit.name.clone());
        let team = self.teams.entry(unit.team.clone()).or_default();
        *team = team.plus(unit.size);
    }

    /// What a VM has left.
    pub fn free(&self, record: &VmRecord) -> Size {
        let given = self.room.get(&record.key).copied().unwrap_or_default();
        record.free().minus(given)
    }

    /// Whether a team's quota allows one more task of this unit.
    pub fn within_quota(&self, state: &State, unit: &Unit) -> bool {
        let given = self.teams.get(&unit.team).copied().unwrap_or_default();
        let after = state.used(&unit.team).plus(given).plus(unit.size);
        state.quota(&unit.team).is_none_or(|quota| after.fits(quota))
    }

    /// The labels of the units on a VM.
    fn labels_on<'a>(
        &'a self,
        state: &'a State,
        vm: VmKey,
    ) -> impl Iterator<Item = &'a Labels> + 'a {
        let given = self.units.get(&vm).into_iter().flatten();
        let names = state.tasks_on(vm).map(|task| &task.unit).chain(given);
        names.filter_map(|name| state.unit(name)).map(|record| &record.unit.labels)
    }
}

/// Why a unit cannot run on a VM now, or none if it can.
pub fn obstacle(state: &State, given: &Given, unit: &Unit, vm: &VmRecord) -> Option<Reason> {
    if !unit.selector.matches(&vm.labels()) {
        return Some(Reason::Selector);
    }
    if !vm.open() {
        return Some(Reason::Closed);
    }
    if let Some(affinity) = &unit.affinity
        && !given.labels_on(state, vm.key).any(|labels| affinity.matches(labels))
    {
        return Some(Reason::Affinity);
    }
    if let Some(avoid) = &unit.anti_affinity
        && given.labels_on(state, vm.key).any(|labels| avoid.matches(labels))
    {
        return Some(Reason::AntiAffinity);
    }
    if !unit.size.fits(vm.vm.size) {
        return Some(Reason::TooSmall);
    }
    if !unit.size.fits(given.free(vm)) {
        return Some(Reason::Taken);
    }
    None
}

/// How good a VM is for a unit; higher is better.
///
/// Jobs are packed onto the fullest VM that holds them. Services are spread: away from VMs, then
/// racks and data centres, that hold tasks of the same service.
pub fn score(state: &State, given: &Given, unit: &Unit, vm: &VmRecord) -> i64 {
    let fill = fill_after(given, unit, vm);
    let spare_accelerators = match unit.size.accelerators {
        0 => i64::from(given.free(vm).accelerators),
        _ => 0,
    };
    if unit.service().is_none() {
        return fill - 400 * spare_accelerators;
    }
    let (same_vm, same_rack, same_centre) = siblings(state, given, unit, vm);
    -4000 * same_vm - 1500 * same_rack - 500 * same_centre - fill - 400 * spare_accelerators
}

/// How full the VM would be, in thousandths of its scarcest resource.
fn fill_after(given: &Given, unit: &Unit, vm: &VmRecord) -> i64 {
    let left = given.free(vm).minus(unit.size);
    let share = |left: u32, all: u32| match all {
        0 => 0,
        _ => 1000 - i64::from(left) * 1000 / i64::from(all),
    };
    let size = vm.vm.size;
    share(left.milli_cpu, size.milli_cpu).max(share(left.memory_mib, size.memory_mib))
}

/// Tasks of the same service on the VM, in its rack, and in its data centre.
fn siblings(state: &State, given: &Given, unit: &Unit, vm: &VmRecord) -> (i64, i64, i64) {
    let rack = vm.vm.labels.get(pond_proto::Vm::RACK);
    let centre = vm.vm.data_centre();
    let placed = state.unit(&unit.name).into_iter().flat_map(|record| record.tasks.values());
    let placed = placed.filter_map(|key| state.task(*key)).map(|task| task.vm);
    let mut counts = (0, 0, 0);
    for other in placed.chain(given.vms_of(&unit.name)).filter_map(|key| state.vm(key)) {
        counts.0 += i64::from(other.key == vm.key);
        counts.1 += i64::from(rack.is_some() && other.vm.labels.get(pond_proto::Vm::RACK) == rack);
        counts.2 += i64::from(other.vm.data_centre() == centre);
    }
    counts
}

impl Given {
    /// The VMs that this plan gave to a unit, one for each task.
    fn vms_of<'a>(&'a self, unit: &'a str) -> impl Iterator<Item = VmKey> + 'a {
        self.units.iter().flat_map(move |(vm, names)| {
            names.iter().filter(move |name| *name == unit).map(move |_| *vm)
        })
    }
}
