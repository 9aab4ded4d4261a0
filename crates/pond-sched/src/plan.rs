//! One round of planning.

use std::collections::BTreeMap;

use pond_proto::{Millis, UnitName, VmKey};
use pond_state::{Action, Change, Decision, Standing, State, UnitRecord, VmRecord};

use crate::candidate::{Given, obstacle, score};
use crate::miss::Misses;
use crate::rank::Rank;

/// Placements in one plan; the rest waits for the next.
const PLACEMENTS: usize = 256;

/// The scheduler.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// The count of room at which a unit was last found to fit nowhere.
    ///
    /// Kept here and not in the state while the reason stays the same, so that units that fit
    /// nowhere cost the log nothing.
    judged: BTreeMap<UnitName, u64>,
}

/// A VM that can take a unit, with its score.
struct Choice {
    vm: VmKey,
    name: String,
    score: i64,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new() -> Scheduler {
        Scheduler::default()
    }

    /// Plans what to change now.
    ///
    /// The changes of one plan go well together, so none may be planned again before all of them
    /// were applied.
    pub fn plan(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let mut changes = self.plan_moves(state, now);
        changes.extend(self.plan_placements(state, now));
        changes
    }

    /// Moves work away from VMs that are leaving.
    fn plan_moves(&self, state: &State, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        for vm in state.vms().filter(|vm| vm.leaving()) {
            for task in state.tasks_on(vm.key).filter(|task| !task.phase.ending()) {
                let why = format!("VM {} is leaving", vm.vm.name);
                let decision = Decision::new(now, Action::Move, why).with_vm(&vm.vm.name);
                changes.push(Change::Steer { at: now, task: task.key, decision });
            }
        }
        changes
    }

    fn plan_placements(&mut self, state: &State, now: Millis) -> Vec<Change> {
        // Before the first list nothing can be said.
        if state.vms().next().is_none() {
            return Vec::new();
        }
        let mut waiting: Vec<(Rank, &UnitRecord)> = state
            .wanting()
            .filter(|record| self.due(state, record, now))
            .map(|record| (Rank::new(record, now), record))
            .collect();
        waiting.sort_by(|a, b| (a.0, &a.1.unit.name).cmp(&(b.0, &b.1.unit.name)));

        let mut given = Given::default();
        let mut changes = Vec::new();
        for (_, record) in waiting {
            for replica in record.missing() {
                if changes.len() >= PLACEMENTS {
                    return changes;
                }
                match place(state, &mut given, record, replica, now) {
                    Ok(change) => changes.push(change),
                    Err(why) => {
                        changes.extend(self.set_aside(state, record, why, now));
                        break;
                    }
                }
            }
        }
        changes
    }

    /// Whether a unit is to be looked at now: one that fits nowhere only when there is new room.
    fn due(&self, state: &State, record: &UnitRecord, now: Millis) -> bool {
        if record.not_before > now {
            return false;
        }
        let Standing::Aside { room } = record.standing else { return true };
        let judged = self.judged.get(&record.unit.name).copied().unwrap_or(0);
        state.room() > room.max(judged)
    }

    /// Sets a unit aside; none if the state knows the same reason already.
    fn set_aside(
        &mut self,
        state: &State,
        record: &UnitRecord,
        why: String,
        now: Millis,
    ) -> Option<Change> {
        let unit = record.unit.name.clone();
        self.judged.insert(unit.clone(), state.room());
        let known = matches!(record.standing, Standing::Aside { .. })
            && record.decisions.back().is_some_and(|last| last.why == why);
        let decision = Decision::new(now, Action::SetAside, why);
        (!known).then_some(Change::SetAside { at: now, unit, decision })
    }
}

/// Finds a VM for one replica, or says why there is none.
fn place(
    state: &State,
    given: &mut Given,
    record: &UnitRecord,
    replica: u32,
    now: Millis,
) -> Result<Change, String> {
    let unit = &record.unit;
    if !given.within_quota(state, unit) {
        return Err(format!("the quota of team {} is used up", unit.team));
    }
    let mut misses = Misses::default();
    let mut choices: Vec<Choice> = Vec::new();
    for vm in state.vms() {
        match obstacle(state, given, unit, vm) {
            Some(reason) => misses.add(reason, vm.vm.size, given.free(vm)),
            None => choices.push(choice(state, given, record, vm)),
        }
    }
    choices.sort_by_key(|choice| (std::cmp::Reverse(choice.score), choice.vm));
    let Some(best) = choices.first() else { return Err(misses.explain(unit)) };
    let (why, next_best) = explain(&choices);
    given.add(best.vm, unit);
    Ok(Change::Place {
        at: now,
        unit: unit.name.clone(),
        replica,
        vm: best.vm,
        decision: Decision::new(now, Action::Place, why)
            .with_vm(&best.name)
            .with_next_best(next_best),
    })
}

fn choice(state: &State, given: &Given, record: &UnitRecord, vm: &VmRecord) -> Choice {
    let score = score(state, given, &record.unit, vm);
    Choice { vm: vm.key, name: vm.vm.name.clone(), score }
}

fn explain(choices: &[Choice]) -> (String, Option<String>) {
    let best = &choices[0];
    let why = format!("{} VMs can take it; {} scores {}", choices.len(), best.name, best.score);
    let next = choices.get(1).map(|next| format!("{} scores {}", next.name, next.score));
    (why, next)
}
