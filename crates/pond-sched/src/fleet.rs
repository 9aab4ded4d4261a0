//! An index of the VMs for one plan: which match a selector, ordered by free processors.

use std::collections::{BTreeSet, HashMap};

use pond_proto::{Millis, Selector, Size, VmKey};
use pond_state::{State, Task, Trust, VmRecord};

/// Number of the fullest or emptiest VMs that are returned first.
const FIRST_CANDIDATES: usize = 8;

/// Number of VMs that are then sampled from the whole range.
const SAMPLES: u32 = 8;

/// The VMs that match one selector and accept work, by free processors.
#[derive(Debug, Default)]
struct Class {
    by_free: BTreeSet<(u32, VmKey)>,
    matching: usize,
}

/// The index. It is rebuilt for each plan because labels and free room change between plans; the
/// cost is shared by all placements of the plan.
#[derive(Debug, Default)]
pub struct Fleet {
    classes: HashMap<Selector, Class>,
    total: Size,
    now: Millis,
}

/// Returns whether a VM has a task of a job.
fn runs_job(state: &State, vm: VmKey) -> bool {
    let unit = |task: &Task| state.unit(&task.unit).map(|record| record.unit.job().is_some());
    state.tasks_on(vm).filter_map(unit).any(|job| job)
}

impl Fleet {
    /// Creates an index of the current state.
    pub fn new(state: &State, now: Millis) -> Fleet {
        let total = state.vms().fold(Size::default(), |sum, vm| sum.plus(vm.vm.size));
        Fleet { classes: HashMap::new(), total, now }
    }

    /// Returns the total size of all VMs.
    pub fn total(&self) -> Size {
        self.total
    }

    /// Returns whether a VM accepts work now. A VM on probation accepts one job at a time.
    pub fn accepts_work(state: &State, vm: &VmRecord, now: Millis) -> bool {
        vm.open()
            && match vm.trust(now) {
                Trust::Good => true,
                Trust::Quarantined => false,
                Trust::Probe => !runs_job(state, vm.key),
            }
    }

    fn ensure_class(
        &mut self,
        state: &State,
        selector: &Selector,
        free: impl Fn(&VmRecord) -> Size,
    ) {
        if self.classes.contains_key(selector) {
            return;
        }
        let mut class = Class::default();
        for vm in state.vms().filter(|vm| vm.matches(selector)) {
            class.matching += 1;
            if Fleet::accepts_work(state, vm, self.now) {
                class.by_free.insert((free(vm).milli_cpu, vm.key));
            }
        }
        self.classes.insert(selector.clone(), class);
    }

    /// Returns the matching VMs with at least `min_cpu` free thousandths of a processor. Work that
    /// is packed gets some of the fullest VMs first, and work that is spread some of the emptiest;
    /// then follow samples from the whole range, and then all VMs. A VM may occur more than once.
    pub fn candidates(
        &mut self,
        state: &State,
        selector: &Selector,
        min_cpu: u32,
        spread: bool,
        free: impl Fn(&VmRecord) -> Size,
    ) -> Box<dyn Iterator<Item = VmKey> + '_> {
        self.ensure_class(state, selector, free);
        let Some(class) = self.classes.get(selector) else { return Box::new(std::iter::empty()) };
        let from =
            move |min_cpu: u32| class.by_free.range((min_cpu, VmKey(0))..).map(|(_, key)| *key);
        let max_free = class.by_free.last().map_or(0, |(free, _)| *free);
        let step = max_free.saturating_sub(min_cpu) / SAMPLES;
        let sampled = (1..=SAMPLES).filter_map(move |i| from(min_cpu + step * i).next());
        if spread {
            let emptiest = from(min_cpu).rev();
            return Box::new(
                emptiest.take(FIRST_CANDIDATES).chain(sampled).chain(from(min_cpu).rev()),
            );
        }
        Box::new(from(min_cpu).take(FIRST_CANDIDATES).chain(sampled).chain(from(min_cpu)))
    }

    /// Updates the index after a VM's free processors changed.
    pub fn update_free(&mut self, vm: VmKey, before: u32, after: u32) {
        for class in self.classes.values_mut() {
            if class.by_free.remove(&(before, vm)) {
                class.by_free.insert((after, vm));
            }
        }
    }
}
