//! Which VMs a unit may run on, and how good each is.

use std::collections::BTreeMap;

use pond_proto::{Labels, Millis, Size, Unit, UnitName, Vm, VmKey};
use pond_state::{State, UnitRecord, VmRecord};

use crate::fleet::Fleet;
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

    /// The units on a VM, one for each task.
    pub fn units_on<'a>(
        &'a self,
        state: &'a State,
        vm: VmKey,
    ) -> impl Iterator<Item = &'a UnitRecord> + 'a {
        let given = self.units.get(&vm).into_iter().flatten();
        let names = state.tasks_on(vm).map(|task| &task.unit).chain(given);
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

/// Why a unit cannot run on a VM now, or none if it can. `kept` is room kept for other units.
pub fn obstacle(
    state: &State,
    given: &Given,
    unit: &Unit,
    vm: &VmRecord,
    kept: Size,
    now: Millis,
) -> Option<Reason> {
    if !vm.matches(&unit.selector) {
        return Some(Reason::Selector);
    }
    if !Fleet::takes(state, vm, now) {
        return Some(if vm.evacuated { Reason::Evacuated } else { Reason::Closed });
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
    if !unit.size.fits(given.free(vm).minus(kept)) {
        return Some(Reason::Taken);
    }
    None
}

/// Where tasks of one service are: by VM, rack and data centre.
#[derive(Debug, Default)]
pub struct Siblings {
    vms: BTreeMap<VmKey, i64>,
    racks: BTreeMap<String, i64>,
    centres: BTreeMap<String, i64>,
}

impl Siblings {
    /// Where the tasks of a unit are now.
    pub fn new(state: &State, record: &UnitRecord) -> Siblings {
        let mut siblings = Siblings::default();
        let tasks = record.tasks.values().filter_map(|key| state.task(*key));
        tasks.filter_map(|task| state.vm(task.vm)).for_each(|vm| siblings.add(vm));
        siblings
    }

    /// One more on a VM.
    pub fn add(&mut self, vm: &VmRecord) {
        *self.vms.entry(vm.key).or_default() += 1;
        if let Some(rack) = vm.vm.labels.get(Vm::RACK) {
            *self.racks.entry(rack.clone()).or_default() += 1;
        }
        *self.centres.entry(vm.vm.data_centre().to_owned()).or_default() += 1;
    }

    /// The more of them are near, the lower.
    fn score(&self, vm: &VmRecord) -> i64 {
        let count = |map: &BTreeMap<String, i64>, key: &str| map.get(key).copied().unwrap_or(0);
        let same_vm = self.vms.get(&vm.key).copied().unwrap_or(0);
        let same_rack = vm.vm.labels.get(Vm::RACK).map_or(0, |rack| count(&self.racks, rack));
        let same_centre = count(&self.centres, vm.vm.data_centre());
        -4000 * same_vm - 1500 * same_rack - 500 * same_centre
    }
}

/// Score that one wasted accelerator costs.
const ACCELERATOR: i64 = 400;

/// How good a VM is for a unit, harm aside; higher is better.
///
/// Jobs are packed onto the fullest VM that holds them. Services are spread away from VMs, then
/// racks and data centres, that hold tasks of the same service.
pub fn score(given: &Given, unit: &Unit, vm: &VmRecord, siblings: &Siblings) -> i64 {
    let fill = fill_after(given, unit, vm);
    let wasted = match unit.size.accelerators {
        0 => i64::from(given.free(vm).accelerators) * ACCELERATOR,
        _ => 0,
    };
    if unit.service().is_none() {
        return fill - wasted;
    }
    siblings.score(vm) - fill - wasted
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
