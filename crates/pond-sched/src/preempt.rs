//! Room for urgent work, taken from the cheapest victims.

use std::collections::BTreeMap;

use pond_proto::{Millis, Size, Span, TaskKey, Unit, UnitName, VmKey};
use pond_state::{Action, Change, Decision, State, Task};

/// How long room is kept for an urgent unit after victims were told to go, in milliseconds.
const KEPT_MS: Span = 15_000;

/// Moves of one job after which it is no victim any more, unless there is no other.
const MOVES: u32 = 3;

/// Room that is kept for urgent units.
#[derive(Debug, Default)]
pub struct Preemption {
    kept: BTreeMap<UnitName, (VmKey, Millis)>,
}

/// A way to make room on one VM.
struct Way {
    vm: VmKey,
    name: String,
    victims: Vec<TaskKey>,
    cost: f64,
}

impl Preemption {
    /// Room that is kept on a VM for units other than this one.
    pub fn kept_for_others(&self, state: &State, vm: VmKey, unit: &str) -> Size {
        let others = self.kept.iter().filter(|(name, (kept, _))| *kept == vm && *name != unit);
        others
            .filter_map(|(name, _)| state.unit(name))
            .fold(Size::default(), |sum, record| sum.plus(record.unit.size))
    }

    /// Forgets room that was used or has been kept for too long.
    pub fn forget(&mut self, state: &State, now: Millis) {
        self.kept.retain(|name, (_, since)| {
            let wants = state.unit(name).is_some_and(|record| record.missing().next().is_some());
            wants && now.since(*since) < KEPT_MS
        });
    }

    /// Whether room is being made for a unit.
    pub fn under_way(&self, unit: &str) -> bool {
        self.kept.contains_key(unit)
    }

    /// Tells the cheapest victims of lower priority to go, so that an urgent unit fits.
    pub fn make_room(
        &mut self,
        state: &State,
        unit: &Unit,
        candidates: impl Iterator<Item = VmKey>,
        now: Millis,
    ) -> Vec<Change> {
        let ways = candidates.filter_map(|vm| way(state, unit, vm, now));
        let Some(best) = ways.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return Vec::new() };
        self.kept.insert(unit.name.clone(), (best.vm, now));
        let change = |task: TaskKey| {
            let why = format!(
                "makes room for urgent {}: the cheapest of the ways to make it, {:.0} s of work \
                 to repeat or wait for",
                unit.name, best.cost
            );
            let decision = Decision::new(now, Action::Move, why).with_vm(&best.name);
            Change::Steer { at: now, task, decision }
        };
        best.victims.iter().copied().map(change).collect()
    }
}

/// The cheapest way to make room for a unit on one VM, if there is one.
fn way(state: &State, unit: &Unit, key: VmKey, now: Millis) -> Option<Way> {
    let vm = state.vm(key)?;
    if !unit.size.fits(vm.vm.size) {
        return None;
    }
    let mut victims: Vec<(f64, &Task)> = state
        .tasks_on(key)
        .filter(|task| !task.phase.ending())
        .filter_map(|task| Some((cost(state, unit, task, now)?, task)))
        .collect();
    victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.key.cmp(&b.1.key)));
    let mut way = Way { vm: key, name: vm.vm.name.clone(), victims: Vec::new(), cost: 0.0 };
    let mut free = ending(state, key).fold(vm.free(), |sum, task| sum.plus(task.size));
    for (cost, task) in victims {
        if unit.size.fits(free) {
            break;
        }
        free = free.plus(task.size);
        way.cost += cost;
        way.victims.push(task.key);
    }
    (unit.size.fits(free) && !way.victims.is_empty()).then_some(way)
}

/// Tasks that are on their way out anyway.
fn ending(state: &State, vm: VmKey) -> impl Iterator<Item = &Task> {
    state.tasks_on(vm).filter(|task| task.phase.ending())
}

/// What it costs to move a task, in seconds of work; none if it must not give way to the unit.
fn cost(state: &State, unit: &Unit, task: &Task, now: Millis) -> Option<f64> {
    let record = state.unit(&task.unit)?;
    let job = record.unit.job()?;
    if record.unit.priority >= unit.priority || record.unit.priority >= Unit::URGENT {
        return None;
    }
    let ran = task.started.map_or(0, |started| now.since(started)) as f64 / 1000.0;
    let tight = crate::rank::slack(record, now).is_some_and(|slack| slack < job.run_ms);
    let moved = if record.moves >= MOVES { 10_000.0 } else { f64::from(record.moves) * 60.0 };
    // It is checkpointed on its way out, so the work so far costs a little only.
    Some(5.0 + ran * 0.05 + moved + if tight { 600.0 } else { 0.0 })
}
