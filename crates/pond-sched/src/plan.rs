//! The scheduler and its planning rounds.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::{Millis, Size, Span, TaskKey, Unit, UnitName, VmKey};
use pond_state::{Action, Change, Decision, Standing, State, Task, Trust, UnitRecord, VmRecord};

use crate::candidate::{Planned, Siblings, obstacle, score};
use crate::deadline::Deadlines;
use crate::fleet::Fleet;
use crate::info::{Info, InfoCache};
use crate::interference::{Colocated, Interference};
use crate::kind::Kinds;
use crate::miss::Misses;
use crate::neighbours::{Cache, Neighbours};
use crate::occupancy::Occupancy;
use crate::preempt::Preemption;
use crate::rank::Rank;
use crate::throttle::{Inputs, Throttler, Tuning as ThrottleTuning, share_of};
use crate::usage::Usage;

/// Maximum number of placements in one plan; the rest waits for the next.
const MAX_PLACEMENTS: usize = 256;

/// Maximum number of suitable VMs that are scored for one placement.
const MAX_SCORED: usize = 16;

/// Maximum number of units that are set aside in one plan.
const MAX_SET_ASIDE: usize = 64;

/// Score penalty per unit of added slowdown or excess latency of the services on a VM.
const INTERFERENCE_PENALTY: f64 = 3000.0;

/// A VM is a target for a move if its services are expected to stay below this share of their
/// objectives.
const MOVE_TARGET_BELOW: f64 = 0.9;

/// Time after which a unit that fits nowhere is tried again even if no room was freed, in
/// milliseconds. Obstacles can disappear without new room, for example when the unit that its
/// affinity requires is placed. Each attempt costs as much as a placement.
const UNPLACEABLE_RETRY_MS: Span = 10_000;

/// Time between two throttling rounds, in milliseconds.
const THROTTLE_INTERVAL_MS: Span = 500;

/// Parameters of the scheduler; benchmarks turn parts of it off for comparison.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Place each unit on the first VM that fits, without scoring.
    pub first_fit: bool,
    /// Consider expected interference in placements.
    pub avoid_interference: bool,
    /// Learn the interference between kinds of units.
    pub learn_interference: bool,
    /// Throttling of batch work.
    pub throttle: ThrottleTuning,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            first_fit: false,
            avoid_interference: true,
            learn_interference: true,
            throttle: ThrottleTuning::default(),
        }
    }
}

/// A measurement of one task, which may arrive with a delay.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    /// The task.
    pub task: TaskKey,
    /// When it was taken.
    pub at: Millis,
    /// Processors in use, in thousandths.
    pub milli_cpu: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u32,
    /// The 99th percentile latency in microseconds, for a service.
    pub p99_us: Option<u64>,
    /// Requests per second, for a service that counts them.
    pub rate: Option<f64>,
}

/// The last time when a unit was found to fit nowhere.
#[derive(Clone, Copy, Debug)]
struct Unplaceable {
    /// The value of [`Scheduler::room`] at that time.
    room: u64,
    at: Millis,
}

/// The scheduler.
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    /// The units that were found to fit nowhere.
    ///
    /// They are kept here and not in the state while the reason stays the same, so that such
    /// units add nothing to the log.
    unplaceable: BTreeMap<UnitName, Unplaceable>,
    kinds: Kinds,
    infos: InfoCache,
    interference: Interference,
    usage: Usage,
    occupancy: Occupancy,
    throttle: Throttler,
    preemption: Preemption,
    deadlines: Deadlines,
    /// The VMs in quarantine, and the number of quarantines that ended, which also counts as new
    /// room.
    quarantined: BTreeSet<VmKey>,
    ended_quarantines: u64,
    /// The time of the last throttling round.
    last_throttling: Option<Millis>,
}

impl Default for Scheduler {
    fn default() -> Scheduler {
        Scheduler::new()
    }
}

/// A VM that can run a unit, with its score.
struct Choice {
    vm: VmKey,
    name: String,
    score: i64,
    /// The service on the VM that is closest to its objective, and its expected latency as a share
    /// of the objective.
    most_affected: Option<(String, f64)>,
}

/// The working data of one plan.
struct Round<'a> {
    state: &'a State,
    now: Millis,
    planned: Planned,
    fleet: Fleet,
    cache: Cache,
    changes: Vec<Change>,
}

impl Scheduler {
    /// Creates a scheduler with default parameters and without estimates.
    pub fn new() -> Scheduler {
        Scheduler::with_tuning(Tuning::default())
    }

    /// Creates a scheduler with the given parameters.
    pub fn with_tuning(tuning: Tuning) -> Scheduler {
        Scheduler {
            tuning,
            unplaceable: BTreeMap::new(),
            kinds: Kinds::default(),
            infos: InfoCache::default(),
            interference: Interference::new(tuning.learn_interference),
            usage: Usage::default(),
            occupancy: Occupancy::default(),
            throttle: Throttler::new(tuning.throttle),
            preemption: Preemption::default(),
            deadlines: Deadlines::default(),
            quarantined: BTreeSet::new(),
            ended_quarantines: 0,
            last_throttling: None,
        }
    }

    /// Drops cached unit properties; call it after an operator's order was applied.
    pub fn units_changed(&mut self) {
        self.infos.clear();
    }

    /// Returns the interference estimates.
    pub fn interference(&self) -> &Interference {
        &self.interference
    }

    /// Updates the estimates with measurements of tasks on one VM.
    pub fn measure(&mut self, state: &State, measured: &[Measured]) {
        for report in measured {
            let Some(task) = state.task(report.task) else { continue };
            let info = self.infos.get_or_insert(state, &mut self.kinds, task);
            let Some(Info { kind, .. }) = info else { continue };
            self.usage.record(kind, task.size, report.milli_cpu, report.memory_mib);
            let Some(p99_us) = report.p99_us else { continue };
            let Some(colocated) = self.occupancy.at(task.vm, report.at) else { continue };
            let victim = self.interference.record_rate(kind, report.rate);
            self.interference.record(victim, p99_us as f64, colocated);
            self.throttle.record_latency(report.task, report.at, p99_us as f64);
        }
    }

    /// Returns the changes to propose now.
    ///
    /// The changes of one plan take each other into account. All of them must be applied before
    /// the next plan is made.
    pub fn plan(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let throttling_due = self
            .last_throttling
            .is_none_or(|last_throttling| now.since(last_throttling) >= THROTTLE_INTERVAL_MS);
        if throttling_due {
            self.last_throttling = Some(now);
            self.record_occupancy(state, now);
        }
        self.record_quarantines(state, now);
        self.preemption.remove_expired(state, now);
        self.throttle.remove_stale(state, now);
        let mut changes = plan_moves(state, now);
        changes.extend(self.deadlines.warn(state, now));
        if throttling_due {
            changes.extend(self.plan_throttling(state, now));
        }
        changes.extend(self.plan_placements(state, now));
        changes
    }

    /// Records which VMs entered or left quarantine.
    fn record_quarantines(&mut self, state: &State, now: Millis) {
        let quarantined = state.vms().filter(|vm| vm.trust(now) == Trust::Quarantined);
        let quarantined: BTreeSet<VmKey> = quarantined.map(|vm| vm.key).collect();
        self.ended_quarantines += self.quarantined.difference(&quarantined).count() as u64;
        self.quarantined = quarantined;
    }

    /// Returns how often room was freed, in the state or by the end of a quarantine.
    fn room(&self, state: &State) -> u64 {
        state.room_version() + self.ended_quarantines
    }

    fn plan_throttling(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let Scheduler { interference, kinds, infos, usage, occupancy, throttle, .. } = self;
        let inputs = Inputs { state, interference, infos, occupancy };
        let planned = Planned::default();
        let find_better_vm = |task: &Task| {
            let unit = &state.unit(&task.unit)?.unit;
            let mut others = state.vms().filter(|vm| vm.key != task.vm);
            let fits = |vm: &&VmRecord| {
                let no_obstacle =
                    obstacle(state, &planned, unit, vm, Size::default(), now).is_none();
                no_obstacle
                    && Neighbours::new(state, kinds, usage, vm.key)
                        .with(interference, kinds, unit)
                        .latency_ratio()
                        < MOVE_TARGET_BELOW
            };
            others.find(fits).map(|vm| vm.vm.name.clone())
        };
        throttle.plan(&inputs, &find_better_vm, now)
    }

    /// Records the batch work that runs on each VM.
    fn record_occupancy(&mut self, state: &State, now: Millis) {
        for vm in state.vms() {
            let mut colocated = Vec::new();
            for task in state.tasks_on(vm.key) {
                let info = self.infos.get_or_insert(state, &mut self.kinds, task);
                let Some(Info { kind, is_job: true, .. }) = info else { continue };
                if task.started.is_some() {
                    let share = f64::from(share_of(task.phase)) / 100.0;
                    colocated.push(Colocated { kind, share });
                }
            }
            self.occupancy.record(vm.key, now, colocated);
        }
        self.occupancy.retain_vms(|vm| state.vm(vm).is_some());
        self.infos.remove_stale(state);
    }

    fn plan_placements(&mut self, state: &State, now: Millis) -> Vec<Change> {
        // No placement is possible before the first VM list has arrived.
        if state.vms().next().is_none() {
            return Vec::new();
        }
        let fleet = Fleet::new(state, now);
        let total = fleet.total();
        let mut waiting: Vec<(Rank, &UnitRecord)> = state
            .incomplete_units()
            .filter(|record| self.is_due(state, record, now))
            .map(|record| (Rank::new(state, record, total, now), record))
            .collect();
        waiting.sort_by(|a, b| (a.0, &a.1.unit.name).cmp(&(b.0, &b.1.unit.name)));

        let planned = Planned::default();
        let cache = Cache::default();
        let mut round = Round { state, now, planned, fleet, cache, changes: Vec::new() };
        let mut set_aside_count = 0;
        for (_, record) in waiting {
            if round.changes.len() >= MAX_PLACEMENTS || set_aside_count >= MAX_SET_ASIDE {
                break;
            }
            if !self.place_unit(&mut round, record) {
                set_aside_count += 1;
            }
        }
        round.changes
    }

    /// Places all missing replicas of a unit; returns false if one of them fits nowhere.
    fn place_unit(&mut self, round: &mut Round<'_>, record: &UnitRecord) -> bool {
        let mut siblings = Siblings::new(round.state, record);
        for replica in record.missing() {
            if round.changes.len() >= MAX_PLACEMENTS {
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
        if unit.priority >= Unit::URGENT && !self.preemption.has_reservation(&unit.name) {
            let matching = round.state.vms().filter(|vm| vm.matches(&unit.selector));
            let open = matching.filter(|vm| Fleet::accepts_work(round.state, vm, round.now));
            let candidates = open.map(|vm| vm.key);
            let moves = self.preemption.make_room(round.state, unit, candidates, round.now);
            round.changes.extend(moves);
        }
        let change = self.set_aside(round.state, record, why, round.now);
        round.changes.extend(change);
    }

    /// Finds a VM for one replica.
    ///
    /// # Errors
    /// The reason why no VM fits.
    fn place(
        &mut self,
        round: &mut Round<'_>,
        record: &UnitRecord,
        replica: u32,
        siblings: &Siblings,
    ) -> Result<(Change, VmKey), String> {
        let unit = &record.unit;
        let (state, now) = (round.state, round.now);
        if !round.planned.within_quota(state, unit) {
            return Err(format!("the quota of team {} is used up", unit.team));
        }
        let mut choices = self.choices(round, unit, siblings);
        choices.sort_by_key(|choice| (std::cmp::Reverse(choice.score), choice.vm));
        let Some(best) = choices.first() else { return Err(self.explain_miss(round, unit)) };
        if let Some(vm) = state.vm(best.vm) {
            let before = round.planned.free(vm).milli_cpu;
            round.planned.add(best.vm, unit);
            round.cache.add(&self.kinds, &self.usage, best.vm, unit);
            round.fleet.update_free(best.vm, before, round.planned.free(vm).milli_cpu);
        }
        let (why, next_best) = explain(&choices);
        let decision =
            Decision::new(now, Action::Place, why).with_vm(&best.name).with_next_best(next_best);
        let change =
            Change::Place { at: now, unit: unit.name.clone(), replica, vm: best.vm, decision };
        Ok((change, best.vm))
    }

    /// Returns the first VMs that fit, with their scores.
    fn choices(&self, round: &mut Round<'_>, unit: &Unit, siblings: &Siblings) -> Vec<Choice> {
        let Round { state, now, planned, fleet, cache, .. } = round;
        let (state, now, planned) = (*state, *now, &*planned);
        let spread = unit.service().is_some();
        let free = |vm: &VmRecord| planned.free(vm);
        let candidates = fleet.candidates(state, &unit.selector, unit.size.milli_cpu, spread, free);
        let most = if self.tuning.first_fit { 1 } else { MAX_SCORED };
        let mut seen = BTreeSet::new();
        let mut choices = Vec::new();
        let fresh = candidates.filter(|key| seen.insert(*key));
        for vm in fresh.filter_map(|key| state.vm(key)) {
            let reserved = self.preemption.reserved_for_others(state, vm.key, &unit.name);
            if obstacle(state, planned, unit, vm, reserved, now).is_none() {
                let neighbours = cache.at(state, &self.kinds, &self.usage, vm.key);
                choices.push(self.choice(neighbours, planned, unit, vm, siblings));
            }
            if choices.len() >= most {
                break;
            }
        }
        choices
    }

    fn choice(
        &self,
        neighbours: &Neighbours,
        planned: &Planned,
        unit: &Unit,
        vm: &VmRecord,
        siblings: &Siblings,
    ) -> Choice {
        let mut total = score(planned, unit, vm, siblings);
        let mut most_affected = None;
        if self.tuning.avoid_interference {
            let effect = neighbours.with(&self.interference, &self.kinds, unit);
            // Added slowdown lowers the score, latency above nine tenths of an objective much more.
            let excess = (effect.latency_ratio() - 0.9).max(0.0) * 5.0;
            total -= ((effect.added + excess) * INTERFERENCE_PENALTY) as i64;
            most_affected = effect.worst;
        }
        total -= self.expected_overuse(neighbours, unit, vm);
        Choice { vm: vm.key, name: vm.vm.name.clone(), score: total, most_affected }
    }

    /// Returns the score penalty for a VM on which tasks are expected to use more memory than it
    /// has.
    fn expected_overuse(&self, neighbours: &Neighbours, unit: &Unit, vm: &VmRecord) -> i64 {
        let own = self.usage.expected(self.kinds.get(unit.workload_kind()), unit.size);
        let expected = neighbours.expected_memory_mib() + u64::from(own.memory_mib);
        let excess = expected.saturating_sub(u64::from(vm.vm.size.memory_mib));
        (excess * 4000 / u64::from(vm.vm.size.memory_mib.max(1))) as i64
    }

    fn explain_miss(&self, round: &Round<'_>, unit: &Unit) -> String {
        let mut misses = Misses::default();
        for vm in round.state.vms() {
            let reserved = self.preemption.reserved_for_others(round.state, vm.key, &unit.name);
            let reason = obstacle(round.state, &round.planned, unit, vm, reserved, round.now);
            if let Some(reason) = reason {
                misses.add(reason, vm.vm.size, round.planned.free(vm));
            }
        }
        misses.explain(unit)
    }

    /// Returns whether to try to place a unit now. A unit that fits nowhere is tried again only
    /// when room was freed, or after [`UNPLACEABLE_RETRY_MS`].
    fn is_due(&self, state: &State, record: &UnitRecord, now: Millis) -> bool {
        if record.not_before > now {
            return false;
        }
        let Standing::Aside { room } = record.standing else { return true };
        let Some(unplaceable) = self.unplaceable.get(&record.unit.name) else {
            return true;
        };
        self.room(state) > room.max(unplaceable.room)
            || now.since(unplaceable.at) >= UNPLACEABLE_RETRY_MS
    }

    /// Sets a unit aside; returns `None` if the state already records the same reason.
    fn set_aside(
        &mut self,
        state: &State,
        record: &UnitRecord,
        why: String,
        now: Millis,
    ) -> Option<Change> {
        let unit = record.unit.name.clone();
        self.unplaceable.insert(unit.clone(), Unplaceable { room: self.room(state), at: now });
        let already_recorded = matches!(record.standing, Standing::Aside { .. })
            && record.decisions.back().is_some_and(|last| last.why == why);
        let decision = Decision::new(now, Action::SetAside, why);
        (!already_recorded).then_some(Change::SetAside { at: now, unit, decision })
    }
}

/// Returns the moves of all tasks away from VMs that are leaving.
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
        MAX_SCORED => format!("at least {MAX_SCORED}"),
        other => other.to_string(),
    };
    let mut why = format!("{count} VMs can take it; {} scores {}", best.name, best.score);
    if let Some((service, latency_ratio)) = &best.most_affected {
        let percent = latency_ratio * 100.0;
        why.push_str(&format!("; {service} is expected at {percent:.0} % of its objective"));
    }
    let next = choices.get(1).map(|next| format!("{} scores {}", next.name, next.score));
    (why, next)
}
