//! The scheduler and one round of its planning.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::{Millis, Size, Span, TaskKey, Unit, UnitName, VmKey};
use pond_state::{Action, Change, Decision, Standing, State, Task, Trust, UnitRecord, VmRecord};

use crate::beneath::{Cache, Neighbours};
use crate::candidate::{Given, Siblings, obstacle, score};
use crate::deadline::Deadlines;
use crate::fleet::Fleet;
use crate::harm::{Beside, Interference};
use crate::info::{Info, Infos};
use crate::kind::Kinds;
use crate::ladder::{Known, Ladder, Tuning as LadderTuning, share_of};
use crate::miss::Misses;
use crate::occupancy::Occupancy;
use crate::preempt::Preemption;
use crate::rank::Rank;
use crate::usage::Usage;

/// Placements in one plan; the rest waits for the next.
const PLACEMENTS: usize = 256;

/// VMs that are scored for one placement, among those that fit.
const SCORED: usize = 16;

/// Units set aside in one plan.
const SET_ASIDE: usize = 64;

/// Score that a service at its objective costs a placement beside it.
const HARM_SCORE: f64 = 3000.0;

/// A VM is better for a task if the services there stay below this share of their objectives.
const BETTER_BELOW: f64 = 0.9;

/// A unit that fits nowhere is looked at again after this time even if there is no new room, in
/// milliseconds: what was in its way may be gone without any, as when the unit that it wants to stand
/// beside is placed. Each look at it costs as much as a placement.
const ASIDE_MS: Span = 10_000;

/// Time between looks at what runs beside services, in milliseconds.
const LADDER_MS: Span = 500;

/// What the scheduler does, parts of which can be left out for comparison.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Take the first VM that fits and score nothing.
    pub first_fit: bool,
    /// Weigh the expected harm in placements.
    pub avoid_harm: bool,
    /// Learn which kinds harm which.
    pub learn_pairs: bool,
    /// The ladder.
    pub ladder: LadderTuning,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            first_fit: false,
            avoid_harm: true,
            learn_pairs: true,
            ladder: LadderTuning::default(),
        }
    }
}

/// A late measurement of one task.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    /// The task.
    pub task: TaskKey,
    /// When it was taken.
    pub at: Millis,
    /// Thousandths of a processor in use.
    pub milli_cpu: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u32,
    /// The 99th percentile of its latency, in microseconds, for a service.
    pub p99_us: Option<u64>,
    /// Requests a second, for a service that counts them.
    pub rate: Option<f64>,
}

/// When a unit was last found to fit nowhere.
#[derive(Clone, Copy, Debug)]
struct Judged {
    /// The count of room then.
    room: u64,
    at: Millis,
}

/// The scheduler.
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    /// The units that were found to fit nowhere.
    ///
    /// Kept here and not in the state while the reason stays the same, so that units that fit
    /// nowhere cost the log nothing.
    judged: BTreeMap<UnitName, Judged>,
    kinds: Kinds,
    infos: Infos,
    harm: Interference,
    usage: Usage,
    occupancy: Occupancy,
    ladder: Ladder,
    preemption: Preemption,
    deadlines: Deadlines,
    /// VMs in quarantine, and how often one came out of it: that is new room too.
    quarantined: BTreeSet<VmKey>,
    released: u64,
    /// When what runs beside services was last looked at.
    looked: Option<Millis>,
}

impl Default for Scheduler {
    fn default() -> Scheduler {
        Scheduler::new()
    }
}

/// A VM that can take a unit, with its score.
struct Choice {
    vm: VmKey,
    name: String,
    score: i64,
    /// The service beside it that comes closest to its objective, and how close.
    harmed: Option<(String, f64)>,
}

/// What one plan works with.
struct Round<'a> {
    state: &'a State,
    now: Millis,
    given: Given,
    fleet: Fleet,
    cache: Cache,
    changes: Vec<Change>,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new() -> Scheduler {
        Scheduler::with_tuning(Tuning::default())
    }

    /// A scheduler with parts left out.
    pub fn with_tuning(tuning: Tuning) -> Scheduler {
        Scheduler {
            tuning,
            judged: BTreeMap::new(),
            kinds: Kinds::default(),
            infos: Infos::default(),
            harm: Interference::new(tuning.learn_pairs),
            usage: Usage::default(),
            occupancy: Occupancy::default(),
            ladder: Ladder::new(tuning.ladder),
            preemption: Preemption::default(),
            deadlines: Deadlines::default(),
            quarantined: BTreeSet::new(),
            released: 0,
            looked: None,
        }
    }

    /// An operator's order was applied: units may have changed.
    pub fn units_changed(&mut self) {
        self.infos.clear();
    }

    /// What it believes of interference.
    pub fn interference(&self) -> &Interference {
        &self.harm
    }

    /// Takes in late measurements of tasks on one VM.
    pub fn measure(&mut self, state: &State, measured: &[Measured]) {
        for report in measured {
            let Some(task) = state.task(report.task) else { continue };
            let info = self.infos.look_up(state, &mut self.kinds, task);
            let Some(Info { kind, .. }) = info else { continue };
            self.usage.learn(kind, task.size, report.milli_cpu, report.memory_mib);
            let Some(p99_us) = report.p99_us else { continue };
            let Some(beside) = self.occupancy.at(task.vm, report.at) else { continue };
            let victim = self.harm.note_rate(kind, report.rate);
            self.harm.learn(victim, p99_us as f64, beside);
            self.ladder.measured(report.task, report.at, p99_us as f64);
        }
    }

    /// Plans what to change now.
    ///
    /// The changes of one plan go well together, so none may be planned again before all of them
    /// were applied.
    pub fn plan(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let look = self.looked.is_none_or(|looked| now.since(looked) >= LADDER_MS);
        if look {
            self.looked = Some(now);
            self.note_occupancy(state, now);
        }
        self.note_quarantines(state, now);
        self.preemption.forget(state, now);
        self.ladder.forget(state, now);
        let mut changes = plan_moves(state, now);
        changes.extend(self.deadlines.warn(state, now));
        if look {
            changes.extend(self.plan_ladder(state, now));
        }
        changes.extend(self.plan_placements(state, now));
        changes
    }

    /// Takes note of VMs that went into quarantine or came out of it.
    fn note_quarantines(&mut self, state: &State, now: Millis) {
        let held = state.vms().filter(|vm| vm.trust(now) == Trust::Quarantined);
        let held: BTreeSet<VmKey> = held.map(|vm| vm.key).collect();
        self.released += self.quarantined.difference(&held).count() as u64;
        self.quarantined = held;
    }

    /// Counts the times that room appeared, in the state or by the end of a quarantine.
    fn room(&self, state: &State) -> u64 {
        state.room() + self.released
    }

    fn plan_ladder(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let Scheduler { harm, kinds, infos, usage, occupancy, ladder, .. } = self;
        let known = Known { state, harm, infos, occupancy };
        let given = Given::default();
        let better = |task: &Task| {
            let unit = &state.unit(&task.unit)?.unit;
            let mut others = state.vms().filter(|vm| vm.key != task.vm);
            let fits = |vm: &&VmRecord| {
                let no_obstacle = obstacle(state, &given, unit, vm, Size::default(), now).is_none();
                no_obstacle
                    && Neighbours::new(state, kinds, usage, vm.key).with(harm, kinds, unit).strain()
                        < BETTER_BELOW
            };
            others.find(fits).map(|vm| vm.vm.name.clone())
        };
        ladder.plan(&known, &better, now)
    }

    /// Takes note of the batch work on each VM.
    fn note_occupancy(&mut self, state: &State, now: Millis) {
        for vm in state.vms() {
            let mut beside = Vec::new();
            for task in state.tasks_on(vm.key) {
                let info = self.infos.look_up(state, &mut self.kinds, task);
                let Some(Info { kind, job: true, .. }) = info else { continue };
                if task.started.is_some() {
                    let share = f64::from(share_of(task.phase)) / 100.0;
                    beside.push(Beside { kind, share });
                }
            }
            self.occupancy.note(vm.key, now, beside);
        }
        self.occupancy.keep(|vm| state.vm(vm).is_some());
        self.infos.forget(state);
    }

    fn plan_placements(&mut self, state: &State, now: Millis) -> Vec<Change> {
        // Before the first list nothing can be said.
        if state.vms().next().is_none() {
            return Vec::new();
        }
        let fleet = Fleet::new(state, now);
        let total = fleet.total();
        let mut waiting: Vec<(Rank, &UnitRecord)> = state
            .wanting()
            .filter(|record| self.due(state, record, now))
            .map(|record| (Rank::new(state, record, total, now), record))
            .collect();
        waiting.sort_by(|a, b| (a.0, &a.1.unit.name).cmp(&(b.0, &b.1.unit.name)));

        let given = Given::default();
        let cache = Cache::default();
        let mut round = Round { state, now, given, fleet, cache, changes: Vec::new() };
        let mut aside = 0;
        for (_, record) in waiting {
            if round.changes.len() >= PLACEMENTS || aside >= SET_ASIDE {
                break;
            }
            if !self.place_unit(&mut round, record) {
                aside += 1;
            }
        }
        round.changes
    }

    /// Places all missing replicas of a unit; false if one of them fits nowhere.
    fn place_unit(&mut self, round: &mut Round<'_>, record: &UnitRecord) -> bool {
        let mut siblings = Siblings::new(round.state, record);
        for replica in record.missing() {
            if round.changes.len() >= PLACEMENTS {
                return true;
            }
            match self.place(round, record, replica, &siblings) {
                Ok((change, vm)) => {
                    round.changes.push(change);
                    if let Some(vm) = round.state.vm(vm) {
                        siblings.add(vm);
                    }
                }
                Err(why) => {
                    self.make_room_or_set_aside(round, record, why);
                    return false;
                }
            }
        }
        true
    }

    fn make_room_or_set_aside(&mut self, round: &mut Round<'_>, record: &UnitRecord, why: String) {
        let unit = &record.unit;
        if unit.priority >= Unit::URGENT && !self.preemption.under_way(&unit.name) {
            let matching = round.state.vms().filter(|vm| vm.matches(&unit.selector));
            let open = matching.filter(|vm| Fleet::takes(round.state, vm, round.now));
            let candidates = open.map(|vm| vm.key);
            let moves = self.preemption.make_room(round.state, unit, candidates, round.now);
            round.changes.extend(moves);
        }
        let change = self.set_aside(round.state, record, why, round.now);
        round.changes.extend(change);
    }

    /// Finds a VM for one replica, or says why there is none.
    fn place(
        &mut self,
        round: &mut Round<'_>,
        record: &UnitRecord,
        replica: u32,
        siblings: &Siblings,
    ) -> Result<(Change, VmKey), String> {
        let unit = &record.unit;
        let (state, now) = (round.state, round.now);
        if !round.given.within_quota(state, unit) {
            return Err(format!("the quota of team {} is used up", unit.team));
        }
        let mut choices = self.choices(round, unit, siblings);
        choices.sort_by_key(|choice| (std::cmp::Reverse(choice.score), choice.vm));
        let Some(best) = choices.first() else { return Err(self.explain_miss(round, unit)) };
        if let Some(vm) = state.vm(best.vm) {
            let before = round.given.free(vm).milli_cpu;
            round.given.add(best.vm, unit);
            round.cache.add(&self.kinds, &self.usage, best.vm, unit);
            round.fleet.moved(best.vm, before, round.given.free(vm).milli_cpu);
        }
        let (why, next_best) = explain(&choices);
        let decision =
            Decision::new(now, Action::Place, why).with_vm(&best.name).with_next_best(next_best);
        let change =
            Change::Place { at: now, unit: unit.name.clone(), replica, vm: best.vm, decision };
        Ok((change, best.vm))
    }

    /// The first VMs that fit, with their scores.
    fn choices(&self, round: &mut Round<'_>, unit: &Unit, siblings: &Siblings) -> Vec<Choice> {
        let Round { state, now, given, fleet, cache, .. } = round;
        let (state, now, given) = (*state, *now, &*given);
        let spread = unit.service().is_some();
        let free = |vm: &VmRecord| given.free(vm);
        let candidates = fleet.candidates(state, &unit.selector, unit.size.milli_cpu, spread, free);
        let most = if self.tuning.first_fit { 1 } else { SCORED };
        let mut seen = BTreeSet::new();
        let mut choices = Vec::new();
        let fresh = candidates.filter(|key| seen.insert(*key));
        for vm in fresh.filter_map(|key| state.vm(key)) {
            let kept = self.preemption.kept_for_others(state, vm.key, &unit.name);
            if obstacle(state, given, unit, vm, kept, now).is_none() {
                let here = cache.at(state, &self.kinds, &self.usage, vm.key);
                choices.push(self.choice(here, given, unit, vm, siblings));
            }
            if choices.len() >= most {
                break;
            }
        }
        choices
    }

    fn choice(
        &self,
        here: &Neighbours,
        given: &Given,
        unit: &Unit,
        vm: &VmRecord,
        siblings: &Siblings,
    ) -> Choice {
        let mut total = score(given, unit, vm, siblings);
        let mut harmed = None;
        if self.tuning.avoid_harm {
            let effect = here.with(&self.harm, &self.kinds, unit);
            // What it adds costs something, and beyond nine tenths of an objective much.
            let over = (effect.strain() - 0.9).max(0.0) * 5.0;
            total -= ((effect.added + over) * HARM_SCORE) as i64;
            harmed = effect.worst;
        }
        total -= self.expected_overuse(here, unit, vm);
        Choice { vm: vm.key, name: vm.vm.name.clone(), score: total, harmed }
    }

    /// Score that a VM costs on which more memory is expected to be used than it has.
    fn expected_overuse(&self, here: &Neighbours, unit: &Unit, vm: &VmRecord) -> i64 {
        let own = self.usage.expected(self.kinds.get(unit.kind_name()), unit.size);
        let expected = here.expected_memory_mib() + u64::from(own.memory_mib);
        let over = expected.saturating_sub(u64::from(vm.vm.size.memory_mib));
        (over * 4000 / u64::from(vm.vm.size.memory_mib.max(1))) as i64
    }

    fn explain_miss(&self, round: &Round<'_>, unit: &Unit) -> String {
        let mut misses = Misses::default();
        for vm in round.state.vms() {
            let kept = self.preemption.kept_for_others(round.state, vm.key, &unit.name);
            let reason = obstacle(round.state, &round.given, unit, vm, kept, round.now);
            if let Some(reason) = reason {
                misses.add(reason, vm.vm.size, round.given.free(vm));
            }
        }
        misses.explain(unit)
    }

    /// Whether a unit is to be looked at now: one that fits nowhere only when there is new room, or after
    /// a while.
    fn due(&self, state: &State, record: &UnitRecord, now: Millis) -> bool {
        if record.not_before > now {
            return false;
        }
        let Standing::Aside { room } = record.standing else { return true };
        let Some(judged) = self.judged.get(&record.unit.name) else {
            return true;
        };
        self.room(state) > room.max(judged.room) || now.since(judged.at) >= ASIDE_MS
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
        self.judged.insert(unit.clone(), Judged { room: self.room(state), at: now });
        let known = matches!(record.standing, Standing::Aside { .. })
            && record.decisions.back().is_some_and(|last| last.why == why);
        let decision = Decision::new(now, Action::SetAside, why);
        (!known).then_some(Change::SetAside { at: now, unit, decision })
    }
}

/// Moves work away from VMs that are leaving.
fn plan_moves(state: &State, now: Millis) -> Vec<Change> {
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

fn explain(choices: &[Choice]) -> (String, Option<String>) {
    let best = &choices[0];
    let count = match choices.len() {
        SCORED => format!("at least {SCORED}"),
        other => other.to_string(),
    };
    let mut why = format!("{count} VMs can take it; {} scores {}", best.name, best.score);
    if let Some((service, strain)) = &best.harmed {
        let percent = strain * 100.0;
        why.push_str(&format!("; {service} is expected at {percent:.0} % of its objective"));
    }
    let next = choices.get(1).map(|next| format!("{} scores {}", next.name, next.score));
    (why, next)
}
