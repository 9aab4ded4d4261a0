//! An index of the VMs for one plan: which match a selector, in the order of their free room.

use std::collections::{BTreeSet, HashMap};

use pond_proto::{Millis, Selector, Size, VmKey};
use pond_state::{State, Task, Trust, VmRecord};

/// How many of the fullest or emptiest VMs come first.
const FIRST: usize = 8;

/// How many come from all over the range.
const SAMPLES: u32 = 8;

/// VMs that match one selector and take work, by free processors.
#[derive(Debug, Default)]
struct Class {
    by_free: BTreeSet<(u32, VmKey)>,
    matching: usize,
}

/// The index. Made anew for each plan, since labels and room change between plans; its cost is
/// shared by all placements of the plan.
#[derive(Debug, Default)]
pub struct Fleet {
    classes: HashMap<Selector, Class>,
    total: Size,
    now: Millis,
}

/// Whether a job is on a VM.
fn runs_job(state: &State, vm: VmKey) -> bool {
    let unit = |task: &Task| state.unit(&task.unit).map(|record| record.unit.job().is_some());
    state.tasks_on(vm).filter_map(unit).any(|job| job)
}

impl Fleet {
    /// An index of the state as it is now.
    pub fn new(state: &State, now: Millis) -> Fleet {
        let total = state.vms().fold(Size::default(), |sum, vm| sum.plus(vm.vm.size));
        Fleet { classes: HashMap::new(), total, now }
    }

    /// What all VMs have together.
    pub fn total(&self) -> Size {
        self.total
    }

    /// Whether a VM takes work now. One on probation takes one job at a time.
    pub fn takes(state: &State, vm: &VmRecord, now: Millis) -> bool {
        vm.open()
            && match vm.trust(now) {
                Trust::Good => true,
                Trust::Quarantined => false,
                Trust::Probe => !runs_job(state, vm.key),
            }
    }

    fn class(&mut self, state: &State, selector: &Selector, free: impl Fn(&VmRecord) -> Size) {
        if self.classes.contains_key(selector) {
            return;
        }
        let mut class = Class::default();
        for vm in state.vms().filter(|vm| vm.matches(selector)) {
            class.matching += 1;
            if Fleet::takes(state, vm, self.now) {
                class.by_free.insert((free(vm).milli_cpu, vm.key));
            }
        }
        self.classes.insert(selector.clone(), class);
    }

    /// Matching VMs with at least that many free processors: some of the fullest first for work
    /// that is packed, of the emptiest first for work that is spread; then some from all over the
    /// range; then all of them. A VM may come more than once.
    pub fn candidates(
        &mut self,
        state: &State,
        selector: &Selector,
        least: u32,
        spread: bool,
        free: impl Fn(&VmRecord) -> Size,
    ) -> Box<dyn Iterator<Item = VmKey> + '_> {
        self.class(state, selector, free);
        let Some(class) = self.classes.get(selector) else { return Box::new(std::iter::empty()) };
        let from = move |least: u32| class.by_free.range((least, VmKey(0))..).map(|(_, key)| *key);
        let most = class.by_free.last().map_or(0, |(free, _)| *free);
        let step = most.saturating_sub(least) / SAMPLES;
        let sampled = (1..=SAMPLES).filter_map(move |i| from(least + step * i).next());
        if spread {
            let emptiest = from(least).rev();
            return Box::new(emptiest.take(FIRST).chain(sampled).chain(from(least).rev()));
        }
        Box::new(from(least).take(FIRST).chain(sampled).chain(from(least)))
    }

    /// Takes note that a VM's free processors changed.
    pub fn moved(&mut self, vm: VmKey, before: u32, after: u32) {
        for class in self.classes.values_mut() {
            if class.by_free.remove(&(before, vm)) {
                class.by_free.insert((after, vm));
            }
        }
    }
}
