//! The VMs that a unit may run on, and their scores.

use std::collections::BTreeMap;

use pond_proto::{Labels, Millis, Size, Unit, UnitName, Vm, VmKey};
use pond_state::{State, UnitRecord, VmRecord};

use crate::fleet::Fleet;
use crate::miss::Reason;

/// The resources and units that the current plan has already assigned to VMs.
#[derive(Debug, Default)]
pub struct Planned {
    assigned: BTreeMap<VmKey, Size>,
    units: BTreeMap<VmKey, Vec<UnitName>>,
    teams: BTreeMap<String, Size>,
}

impl Planned {
    /// Records a placement.
    pub fn add(&mut self, vm: VmKey, unit: &Unit) {
        let assigned = self.assigned.entry(vm).or_default();
        *assigned = assigned.plus(unit.size);
        self.units.entry(vm).or_default().push(unit.name.clone());
        let team = self.teams.entry(unit.team.clone()).or_default();
        *team = team.plus(unit.size);
    }

    /// Returns the free resources of a VM after the placements of this plan.
    pub fn free(&self, record: &VmRecord) -> Size {
        let planned = self.assigned.get(&record.key).copied().unwrap_or_default();
        record.free().minus(planned)
    }

    /// Returns whether the quota of the unit's team allows one more task of it.
    pub fn within_quota(&self, state: &State, unit: &Unit) -> bool {
        let planned = self.teams.get(&unit.team).copied().unwrap_or_default();
        let after = state.used(&unit.team).plus(planned).plus(unit.size);
        state.quota(&unit.team).is_none_or(|quota| after.fits(quota))
    }

    /// Returns the units on a VM, one for each task.
    pub fn units_on<'a>(
        &'a self,
        state: &'a State,
        vm: VmKey,
    ) -> impl Iterator<Item = &'a UnitRecord> + 'a {
        let planned = self.units.get(&vm).into_iter().flatten();
        let names = state.tasks_on(vm).map(|task| &task.unit).chain(planned);
        names.filter_map(|name| state.unit(name))
    }

    fn labels_on<'a>(
        &'a self,
        state: &'a State,
        vm: VmKey,
    ) -> impl Iterator<Item = &'a Labels> + 'a {
        self.units_on(state, vm).map(|record| &record.unit.labels)
    }
}

/// Returns why a unit cannot run on a VM now, or `None` if it can. `reserved` is the room on the
/// VM that is reserved for other units.
pub fn obstacle(
    state: &State,
    planned: &Planned,
    unit: &Unit,
    vm: &VmRecord,
    reserved: Size,
    now: Millis,
) -> Option<Reason> {
    if !vm.matches(&unit.selector) {
        return Some(Reason::Selector);
    }
    if !Fleet::accepts_work(state, vm, now) {
        return Some(if vm.evacuated { Reason::Evacuated } else { Reason::Closed });
    }
    if let Some(affinity) = &unit.affinity
        && !planned.labels_on(state, vm.key).any(|labels| affinity.matches(labels))
    {
        return Some(Reason::Affinity);
    }
    if let Some(avoid) = &unit.anti_affinity
        && planned.labels_on(state, vm.key).any(|labels| avoid.matches(labels))
    {
        return Some(Reason::AntiAffinity);
    }
    if !unit.size.fits(vm.vm.size) {
        return Some(Reason::TooSmall);
    }
    if !unit.size.fits(planned.free(vm).minus(reserved)) {
        return Some(Reason::Taken);
    }
    None
}

/// The number of tasks of one unit by VM, rack and data centre.
#[derive(Debug, Default)]
pub struct Siblings {
    vms: BTreeMap<VmKey, i64>,
    racks: BTreeMap<String, i64>,
    centres: BTreeMap<String, i64>,
}

impl Siblings {
    /// Counts the current tasks of a unit.
    pub fn new(state: &State, record: &UnitRecord) -> Siblings {
        let mut siblings = Siblings::default();
        let tasks = record.tasks.values().filter_map(|key| state.task(*key));
        tasks.filter_map(|task| state.vm(task.vm)).for_each(|vm| siblings.add(vm));
        siblings
    }

    /// Counts one more task on a VM.
    pub fn add(&mut self, vm: &VmRecord) {
        *self.vms.entry(vm.key).or_default() += 1;
        if let Some(rack) = vm.vm.labels.get(Vm::RACK) {
            *self.racks.entry(rack.clone()).or_default() += 1;
        }
        *self.centres.entry(vm.vm.data_centre().to_owned()).or_default() += 1;
    }

    /// Returns a score that is lower the more tasks of the unit are nearby.
    fn score(&self, vm: &VmRecord) -> i64 {
        let count = |map: &BTreeMap<String, i64>, key: &str| map.get(key).copied().unwrap_or(0);
        let same_vm = self.vms.get(&vm.key).copied().unwrap_or(0);
        let same_rack = vm.vm.labels.get(Vm::RACK).map_or(0, |rack| count(&self.racks, rack));
        let same_centre = count(&self.centres, vm.vm.data_centre());
        -4000 * same_vm - 1500 * same_rack - 500 * same_centre
    }
}

/// Score penalty for each accelerator on the VM that the unit would not use.
const UNUSED_ACCELERATOR_PENALTY: i64 = 400;

/// Returns how suitable a VM is for a unit, leaving interference aside; higher is better.
///
/// Jobs are packed onto the fullest VM with enough room. Services are spread away from VMs, then
/// racks and data centres, that hold tasks of the same service.
pub fn score(planned: &Planned, unit: &Unit, vm: &VmRecord, siblings: &Siblings) -> i64 {
    let fullness = fullness_after(planned, unit, vm);
    let wasted = match unit.size.accelerators {
        0 => i64::from(planned.free(vm).accelerators) * UNUSED_ACCELERATOR_PENALTY,
        _ => 0,
    };
    if unit.service().is_none() {
        return fullness - wasted;
    }
    siblings.score(vm) - fullness - wasted
}

/// Returns how full the VM would be, in thousandths of its scarcest resource.
fn fullness_after(planned: &Planned, unit: &Unit, vm: &VmRecord) -> i64 {
    let left = planned.free(vm).minus(unit.size);
    let share = |left: u32, all: u32| match all {
        0 => 0,
        _ => 1000 - i64::from(left) * 1000 / i64::from(all),
    };
    let size = vm.vm.size;
    share(left.milli_cpu, size.milli_cpu).max(share(left.memory_mib, size.memory_mib))
}
