//! Preemption: frees room for urgent units by evicting the tasks that cost least to move.

use std::collections::BTreeMap;

use pond_proto::{Millis, Size, Span, TaskKey, Unit, UnitName, VmKey};
use pond_state::{Action, Change, Decision, State, Task};

/// How long room stays reserved for an urgent unit after its victims were ordered to move, in
/// milliseconds.
const RESERVATION_MS: Span = 15_000;

/// Number of moves after which a job is evicted only if there is no other victim.
const MAX_MOVES: u32 = 3;

/// The room that is reserved for urgent units, by unit: the VM and the time of the reservation.
#[derive(Debug, Default)]
pub struct Preemption {
    reserved: BTreeMap<UnitName, (VmKey, Millis)>,
}

/// A set of tasks on one VM whose eviction frees enough room.
struct Eviction {
    vm: VmKey,
    name: String,
    victims: Vec<TaskKey>,
    cost: f64,
}

impl Preemption {
    /// Returns the room on a VM that is reserved for units other than `unit`.
    pub fn reserved_for_others(&self, state: &State, vm: VmKey, unit: &str) -> Size {
        let others =
            self.reserved.iter().filter(|(name, (reserved, _))| *reserved == vm && *name != unit);
        others
            .filter_map(|(name, _)| state.unit(name))
            .fold(Size::default(), |sum, record| sum.plus(record.unit.size))
    }

    /// Removes reservations that were used or have expired.
    pub fn remove_expired(&mut self, state: &State, now: Millis) {
        self.reserved.retain(|name, (_, since)| {
            let wants = state.unit(name).is_some_and(|record| record.missing().next().is_some());
            wants && now.since(*since) < RESERVATION_MS
        });
    }

    /// Returns whether room is reserved for a unit.
    pub fn has_reservation(&self, unit: &str) -> bool {
        self.reserved.contains_key(unit)
    }

    /// Returns the moves of the cheapest tasks of lower priority, so that an urgent unit fits, and
    /// reserves the room.
    pub fn make_room(
        &mut self,
        state: &State,
        unit: &Unit,
        candidates: impl Iterator<Item = VmKey>,
        now: Millis,
    ) -> Vec<Change> {
        let evictions = candidates.filter_map(|vm| eviction(state, unit, vm, now));
        let Some(best) = evictions.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Vec::new();
        };
        self.reserved.insert(unit.name.clone(), (best.vm, now));
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

/// Returns the cheapest eviction on one VM that makes room for a unit, if there is one.
fn eviction(state: &State, unit: &Unit, key: VmKey, now: Millis) -> Option<Eviction> {
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
    let mut eviction =
        Eviction { vm: key, name: vm.vm.name.clone(), victims: Vec::new(), cost: 0.0 };
    let mut free = ending(state, key).fold(vm.free(), |sum, task| sum.plus(task.size));
    for (cost, task) in victims {
        if unit.size.fits(free) {
            break;
        }
        free = free.plus(task.size);
        eviction.cost += cost;
        eviction.victims.push(task.key);
    }
    (unit.size.fits(free) && !eviction.victims.is_empty()).then_some(eviction)
}

/// Returns the tasks on a VM that are already being stopped.
fn ending(state: &State, vm: VmKey) -> impl Iterator<Item = &Task> {
    state.tasks_on(vm).filter(|task| task.phase.ending())
}

/// Returns the cost of moving a task, in seconds of work, or `None` if the unit must not preempt
/// it.
fn cost(state: &State, unit: &Unit, task: &Task, now: Millis) -> Option<f64> {
    let record = state.unit(&task.unit)?;
    let job = record.unit.job()?;
    if record.unit.priority >= unit.priority || record.unit.priority >= Unit::URGENT {
        return None;
    }
    let ran = task.started.map_or(0, |started| now.since(started)) as f64 / 1000.0;
    let tight = crate::rank::slack(record, now).is_some_and(|slack| slack < job.run_ms);
    let moved = if record.moves >= MAX_MOVES { 10_000.0 } else { f64::from(record.moves) * 60.0 };
    // The task is checkpointed before it stops, so the work done so far adds only a small cost.
    Some(5.0 + ran * 0.05 + moved + if tight { 600.0 } else { 0.0 })
}
