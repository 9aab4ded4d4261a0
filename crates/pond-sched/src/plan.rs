//! One round of planning.

use pond_proto::{Millis, VmKey};
use pond_state::{Action, Change, Decision, Standing, State, UnitRecord, VmRecord};

use crate::candidate::{Given, obstacle, score};
use crate::miss::Misses;
use crate::rank::Rank;

/// Placements in one plan; the rest waits for the next.
const PLACEMENTS: usize = 256;

/// The scheduler.
#[derive(Debug, Default)]
pub struct Scheduler {}

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

    fn plan_placements(&self, state: &State, now: Millis) -> Vec<Change> {
        let mut waiting: Vec<(Rank, &UnitRecord)> = state
            .wanting()
            .filter(|record| due(state, record, now))
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
                let change = place(state, &mut given, record, replica, now);
                let set_aside = matches!(change, Change::SetAside { .. });
                changes.push(change);
                if set_aside {
                    break;
                }
            }
        }
        changes
    }
}

/// Whether a unit is to be looked at now.
fn due(state: &State, record: &UnitRecord, now: Millis) -> bool {
    if record.not_before > now {
        return false;
    }
    match record.standing {
        Standing::Aside { room } => state.room() > room,
        _ => true,
    }
}

fn place(
    state: &State,
    given: &mut Given,
    record: &UnitRecord,
    replica: u32,
    now: Millis,
) -> Change {
    let unit = &record.unit;
    let aside = |why: String| Change::SetAside {
        at: now,
        unit: unit.name.clone(),
        decision: Decision::new(now, Action::SetAside, why),
    };
    if !given.within_quota(state, unit) {
        return aside(format!("the quota of team {} is used up", unit.team));
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
    let Some(best) = choices.first() else { return aside(misses.explain(unit)) };
    let (why, next_best) = explain(&choices);
    given.add(best.vm, unit);
    Change::Place {
        at: now,
        unit: unit.name.clone(),
        replica,
        vm: best.vm,
        decision: Decision::new(now, Action::Place, why)
            .with_vm(&best.name)
            .with_next_best(next_best),
    }
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
