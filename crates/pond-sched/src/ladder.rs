//! The ladder: slow batch work down, then pause it, then move it; and back up again.

use std::collections::{BTreeMap, HashMap};

use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::{Action, Change, Decision, Phase, State, Task, VmRecord};

use crate::harm::{Beside, Interference, Victim};
use crate::info::{Info, Infos};
use crate::occupancy::Occupancy;

/// How the ladder behaves.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Whether it does anything at all, for comparison.
    pub on: bool,
    /// Above this share of the objective batch work is slowed.
    pub act_above: f64,
    /// Slowing aims at this share of the objective.
    pub aim: f64,
    /// Below this share of the objective slowed work is released.
    pub release_below: f64,
    /// Time between two actions on one VM, in milliseconds, beyond the lateness of reports.
    pub calm_ms: Span,
    /// Time for which a task is slow or still before it is moved, in milliseconds.
    pub held_ms: Span,
    /// Time for which a task is held before a small step is tried, in milliseconds.
    pub explore_ms: Span,
    /// Moves of one job at most.
    pub moves_per_job: u32,
    /// Time in which at most a fiftieth of the batch tasks is moved, in milliseconds.
    pub move_window_ms: Span,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            on: true,
            act_above: 0.95,
            aim: 0.9,
            release_below: 0.8,
            calm_ms: 2_000,
            held_ms: 20_000,
            explore_ms: 30_000,
            moves_per_job: 3,
            move_window_ms: 15_000,
        }
    }
}

/// The smallest share that a task is slowed to, in hundredths; below it stands still.
const LEAST_SHARE: u32 = 10;

/// A task with at most this share may be moved, in hundredths.
const HELD_SHARE: u32 = 60;

/// Steps of shares, in hundredths.
const STEP: u32 = 10;

/// What a service was last measured to take.
#[derive(Clone, Copy, Debug)]
struct Measured {
    at: Millis,
    p99_us: f64,
}

/// What the ladder looks at.
pub struct Known<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// What is believed of interference.
    pub harm: &'a Interference,
    /// What is known of the tasks' units.
    pub infos: &'a Infos,
    /// What ran where, lately.
    pub occupancy: &'a Occupancy,
}

/// A service with an objective on a VM.
struct Guarded {
    unit: String,
    victim: Victim,
    objective_us: f64,
    baseline: f64,
    /// What it takes now, as far as is known.
    now_us: f64,
}

/// A batch task that can be steered.
struct Steerable<'a> {
    task: &'a Task,
    beside: Beside,
    share: u32,
}

/// The ladder's memory.
#[derive(Debug)]
pub struct Ladder {
    tuning: Tuning,
    measured: HashMap<TaskKey, Measured>,
    acted: BTreeMap<VmKey, Millis>,
    moved: Vec<Millis>,
}

impl Ladder {
    /// A ladder that has done nothing yet.
    pub fn new(tuning: Tuning) -> Ladder {
        Ladder { tuning, measured: HashMap::new(), acted: BTreeMap::new(), moved: Vec::new() }
    }

    /// Takes in a measured 99th percentile of a service's task.
    pub fn measured(&mut self, task: TaskKey, at: Millis, p99_us: f64) {
        let newest = self.measured.get(&task).is_none_or(|last| last.at < at);
        if newest {
            self.measured.insert(task, Measured { at, p99_us });
        }
    }

    /// Forgets tasks and VMs that are no more.
    pub fn forget(&mut self, state: &State, now: Millis) {
        self.measured.retain(|task, _| state.task(*task).is_some());
        self.acted.retain(|vm, _| state.vm(*vm).is_some());
        let window = self.tuning.move_window_ms;
        self.moved.retain(|at| now.since(*at) < window);
    }

    /// Plans steps for all VMs with services that have an objective.
    ///
    /// `better` names a VM on which a task would leave the services there below their objectives.
    pub fn plan(
        &mut self,
        known: &Known<'_>,
        better: &dyn Fn(&Task) -> Option<String>,
        now: Millis,
    ) -> Vec<Change> {
        let state = known.state;
        if !self.tuning.on {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for vm in state.vms() {
            if self.acted.get(&vm.key).is_some_and(|at| now.since(*at) < self.tuning.calm_ms) {
                continue;
            }
            let planned = self.plan_vm(known, better, vm, now);
            if !planned.is_empty() {
                self.acted.insert(vm.key, now);
            }
            changes.extend(planned);
        }
        changes
    }

    fn plan_vm(
        &mut self,
        known: &Known<'_>,
        better: &dyn Fn(&Task) -> Option<String>,
        vm: &VmRecord,
        now: Millis,
    ) -> Vec<Change> {
        let Known { state, harm, infos, .. } = *known;
        let batch = steerable(state, infos, vm.key);
        if batch.is_empty() {
            return Vec::new();
        }
        let watched = |task: &Task| infos.get(task.key).is_some_and(|i| i.objective_us.is_some());
        if !state.tasks_on(vm.key).any(watched) {
            return release_all(vm, &batch, now);
        }
        let beside: Vec<Beside> = batch.iter().map(|task| task.beside).collect();
        let guarded = self.guarded(known, vm.key, &beside);
        let pressed = guarded.iter().max_by(|a, b| strain(a).total_cmp(&strain(b)));
        let Some(pressed) = pressed else { return Vec::new() };
        let strain = strain(pressed);
        if strain > self.tuning.act_above {
            return self.slow(harm, vm, pressed, &batch, now);
        }
        if strain < self.tuning.release_below {
            let released = self.release(harm, vm, &guarded, &batch, now);
            if !released.is_empty() {
                return released;
            }
        }
        self.move_held(state, vm, pressed, &batch, better, now)
    }

    /// Services with an objective on a VM, with what they take now.
    fn guarded(&self, known: &Known<'_>, vm: VmKey, beside: &[Beside]) -> Vec<Guarded> {
        let Known { state, harm, infos, occupancy } = *known;
        let settled = occupancy.since(vm).unwrap_or(Millis(0)) + 1_000;
        let tasks = state.tasks_on(vm).filter(|task| !task.phase.ending());
        let guard = |task: &Task| {
            let info = infos.get(task.key)?;
            let objective_us = info.objective_us?;
            let victim = harm.victim(info.kind);
            let baseline = harm.baseline(victim)?;
            let expected = baseline * harm.slowdown(victim, beside);
            // A measurement from before the last change says nothing of what runs now.
            let measured = self.measured.get(&task.key).filter(|m| m.at >= settled);
            let now_us = measured.map_or(expected, |measured| measured.p99_us);
            Some(Guarded { unit: task.unit.clone(), victim, objective_us, baseline, now_us })
        };
        tasks.filter_map(guard).collect()
    }

    /// Slows or pauses what harms most for the work that is lost, until the aim is met.
    fn slow(
        &self,
        harm: &Interference,
        vm: &VmRecord,
        pressed: &Guarded,
        batch: &[Steerable<'_>],
        now: Millis,
    ) -> Vec<Change> {
        let aim_us = pressed.objective_us * self.tuning.aim;
        let coefficient =
            |task: &Steerable<'_>| harm.estimate(pressed.victim, task.beside.kind).mean.max(0.001);
        let mut excess = (pressed.now_us - aim_us) / pressed.baseline;
        let mut order: Vec<&Steerable<'_>> = batch.iter().filter(|task| task.share > 0).collect();
        order.sort_by(|a, b| coefficient(b).total_cmp(&coefficient(a)));
        let mut changes = Vec::new();
        for task in order {
            if excess <= 0.0 {
                break;
            }
            let cut = (excess / coefficient(task) * 100.0).ceil() as u32;
            let cut = cut.div_ceil(STEP) * STEP;
            let share = task.share.saturating_sub(cut);
            let share = if share >= LEAST_SHARE || task.share > LEAST_SHARE {
                share.max(LEAST_SHARE)
            } else {
                0
            };
            excess -= coefficient(task) * f64::from(task.share - share) / 100.0;
            let action = if share == 0 { Action::Pause } else { Action::Slow(share) };
            let why = format!(
                "{} takes {:.1} ms of its objective of {:.1} ms; this task is expected to add \
                 {:.0} % at full speed",
                pressed.unit,
                pressed.now_us / 1000.0,
                pressed.objective_us / 1000.0,
                coefficient(task) * 100.0
            );
            changes.push(steer(task, action, why, vm, now));
        }
        changes
    }

    /// Gives back what fits, the least harmful first.
    fn release(
        &self,
        harm: &Interference,
        vm: &VmRecord,
        guarded: &[Guarded],
        batch: &[Steerable<'_>],
        now: Millis,
    ) -> Vec<Change> {
        let room = |guard: &Guarded| {
            (guard.objective_us * self.tuning.aim - guard.now_us) / guard.baseline
        };
        let cost = |task: &Steerable<'_>, guard: &Guarded| {
            harm.estimate(guard.victim, task.beside.kind).mean.max(0.001)
        };
        let worst = |task: &Steerable<'_>| {
            guarded.iter().map(|guard| cost(task, guard)).fold(0.0, f64::max)
        };
        let mut held: Vec<&Steerable<'_>> = batch.iter().filter(|task| task.share < 100).collect();
        held.sort_by(|a, b| worst(a).total_cmp(&worst(b)));
        let Some(task) = held.first() else { return Vec::new() };
        let gain = guarded
            .iter()
            .map(|guard| room(guard) / cost(task, guard) * 100.0)
            .fold(100.0, f64::min);
        let mut share = (task.share + gain.max(0.0) as u32).min(100) / STEP * STEP;
        let mut why = "the services beside it have room below their objectives again";
        if share <= task.share {
            // What stands still teaches nothing: a small step shows whether it still harms.
            if now.since(task.task.since) < self.tuning.explore_ms {
                return Vec::new();
            }
            share = task.share / STEP * STEP + STEP;
            why = "it was held for long; a small step shows whether it still harms";
        }
        let action = if share >= 100 { Action::Release } else { Action::Slow(share) };
        let why = why.to_owned();
        vec![steer(task, action, why, vm, now)]
    }

    /// Moves a task that has been slow or still for long, if it may move and is better off there.
    fn move_held(
        &mut self,
        state: &State,
        vm: &VmRecord,
        pressed: &Guarded,
        batch: &[Steerable<'_>],
        better: &dyn Fn(&Task) -> Option<String>,
        now: Millis,
    ) -> Vec<Change> {
        let tasks = state.tasks().count();
        let budget = (tasks / 50).max(1);
        if self.moved.len() >= budget {
            return Vec::new();
        }
        let may_move = |task: &&Steerable<'_>| {
            let held = task.share <= HELD_SHARE;
            let long = now.since(task.task.since) >= self.tuning.held_ms;
            let moves = state.unit(&task.task.unit).map_or(0, |record| record.moves);
            held && long && moves < self.tuning.moves_per_job
        };
        let mut movable = batch.iter().filter(may_move);
        let found = movable.find_map(|task| Some((task, better(task.task)?)));
        let Some((task, place)) = found else { return Vec::new() };
        self.moved.push(now);
        let seconds = now.since(task.task.since) / 1000;
        let why = format!(
            "it has had {} % of its processors for {seconds} s beside {}, which leaves it no more \
             here; {place} would",
            task.share, pressed.unit
        );
        vec![steer(task, Action::Move, why, vm, now)]
    }
}

/// Gives all batch tasks on a VM their full speed, as nothing there needs protection any more.
fn release_all(vm: &VmRecord, batch: &[Steerable<'_>], now: Millis) -> Vec<Change> {
    let held = batch.iter().filter(|task| task.share < 100);
    let why = "no service with an objective is beside it any more";
    held.map(|task| steer(task, Action::Release, why.to_owned(), vm, now)).collect()
}

/// How close a service is to its objective; 1 is at it.
fn strain(guarded: &Guarded) -> f64 {
    guarded.now_us / guarded.objective_us
}

fn steer(task: &Steerable<'_>, action: Action, why: String, vm: &VmRecord, now: Millis) -> Change {
    let decision = Decision::new(now, action, why).with_vm(&vm.vm.name);
    Change::Steer { at: now, task: task.task.key, decision }
}

/// The share of processors that a task may use, in hundredths.
pub fn share_of(phase: Phase) -> u32 {
    match phase {
        Phase::Slowed(share) => share,
        Phase::Paused => 0,
        _ => 100,
    }
}

/// The batch tasks on a VM that run and can be steered.
fn steerable<'a>(state: &'a State, infos: &Infos, vm: VmKey) -> Vec<Steerable<'a>> {
    let steer = |task: &'a Task| {
        let running = matches!(task.phase, Phase::Running | Phase::Slowed(_) | Phase::Paused);
        let Info { kind, .. } = infos.get(task.key).filter(|info| info.job && running)?;
        let share = share_of(task.phase);
        Some(Steerable { task, beside: Beside { kind, share: f64::from(share) / 100.0 }, share })
    };
    state.tasks_on(vm).filter_map(steer).collect()
}
