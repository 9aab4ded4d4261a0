//! Protects services from batch work on the same VM: slows batch tasks down, then pauses them, then
//! moves them; and releases them when the services have headroom again.

use std::collections::{BTreeMap, HashMap};

use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::{Action, Change, Decision, Phase, State, Task, VmRecord};

use crate::info::{Info, InfoCache};
use crate::interference::{Colocated, Interference, Victim};
use crate::occupancy::Occupancy;

/// Parameters of the throttler.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Whether the throttler acts at all; benchmarks turn it off for comparison.
    pub enabled: bool,
    /// Batch work is slowed when a service's latency exceeds this share of its objective.
    pub throttle_above: f64,
    /// Latency that slowing and releasing aim for, as a share of the objective.
    pub target: f64,
    /// Slowed work is released when all services are below this share of their objectives.
    pub release_below: f64,
    /// Minimum time between two actions on one VM, in milliseconds. Reports may arrive later;
    /// until one from after the last action is there, the expected latency is used instead.
    pub cooldown_ms: Span,
    /// Time for which a task must have been slowed or paused before it is moved, in milliseconds.
    pub move_after_ms: Span,
    /// Time after which a throttled task is sped up by one step as a test, in milliseconds.
    pub probe_after_ms: Span,
    /// Maximum number of moves of one job.
    pub max_moves_per_job: u32,
    /// Period in which at most a fiftieth of all tasks may be moved, or one task if that is more, in
    /// milliseconds.
    pub move_window_ms: Span,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            enabled: true,
            throttle_above: 0.95,
            target: 0.9,
            release_below: 0.8,
            cooldown_ms: 2_000,
            move_after_ms: 20_000,
            probe_after_ms: 30_000,
            max_moves_per_job: 3,
            move_window_ms: 15_000,
        }
    }
}

/// Smallest share of processors that a task is slowed to, in percent; below it the task is paused.
const MIN_SHARE: u32 = 10;

/// Largest share of processors at which a task may be moved, in percent.
const MOVABLE_SHARE: u32 = 60;

/// Step by which shares change, in percent.
const SHARE_STEP: u32 = 10;

/// The last latency measured for a task of a service.
#[derive(Clone, Copy, Debug)]
struct Latency {
    at: Millis,
    p99_us: f64,
}

/// The inputs of the throttler.
pub struct Inputs<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The interference estimates.
    pub interference: &'a Interference,
    /// The properties of the tasks' units.
    pub infos: &'a InfoCache,
    /// The recent batch work on each VM.
    pub occupancy: &'a Occupancy,
}

/// A service with an objective on a VM.
struct Protected {
    unit: String,
    victim: Victim,
    objective_us: f64,
    baseline: f64,
    /// The current latency: measured if a recent measurement exists, otherwise estimated.
    now_us: f64,
}

/// A running batch task whose speed and place can be changed.
struct Steerable<'a> {
    task: &'a Task,
    colocated: Colocated,
    share: u32,
}

/// The throttler with its recent measurements and actions.
#[derive(Debug)]
pub struct Throttler {
    tuning: Tuning,
    latencies: HashMap<TaskKey, Latency>,
    last_actions: BTreeMap<VmKey, Millis>,
    recent_moves: Vec<Millis>,
}

impl Throttler {
    /// Creates a throttler without measurements or actions.
    pub fn new(tuning: Tuning) -> Throttler {
        Throttler {
            tuning,
            latencies: HashMap::new(),
            last_actions: BTreeMap::new(),
            recent_moves: Vec::new(),
        }
    }

    /// Records a measured 99th percentile latency of a service's task, in microseconds, unless a
    /// newer one is known.
    pub fn record_latency(&mut self, task: TaskKey, at: Millis, p99_us: f64) {
        let newest = self.latencies.get(&task).is_none_or(|last| last.at < at);
        if newest {
            self.latencies.insert(task, Latency { at, p99_us });
        }
    }

    /// Removes tasks and VMs that no longer exist, and moves outside the move window.
    pub fn remove_stale(&mut self, state: &State, now: Millis) {
        self.latencies.retain(|task, _| state.task(*task).is_some());
        self.last_actions.retain(|vm, _| state.vm(*vm).is_some());
        let window = self.tuning.move_window_ms;
        self.recent_moves.retain(|at| now.since(*at) < window);
    }

    /// Plans the next actions on all VMs.
    ///
    /// `find_better_vm` returns the name of a VM where a task would leave all services well below
    /// their objectives.
    pub fn plan(
        &mut self,
        inputs: &Inputs<'_>,
        find_better_vm: &dyn Fn(&Task) -> Option<String>,
        now: Millis,
    ) -> Vec<Change> {
        let state = inputs.state;
        if !self.tuning.enabled {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for vm in state.vms() {
            if self
                .last_actions
                .get(&vm.key)
                .is_some_and(|at| now.since(*at) < self.tuning.cooldown_ms)
            {
                continue;
            }
            let planned = self.plan_vm(inputs, find_better_vm, vm, now);
            if !planned.is_empty() {
                self.last_actions.insert(vm.key, now);
            }
            changes.extend(planned);
        }
        changes
    }

    fn plan_vm(
        &mut self,
        inputs: &Inputs<'_>,
        find_better_vm: &dyn Fn(&Task) -> Option<String>,
        vm: &VmRecord,
        now: Millis,
    ) -> Vec<Change> {
        let Inputs { state, interference, infos, .. } = *inputs;
        let batch = steerable(state, infos, vm.key);
        if batch.is_empty() {
            return Vec::new();
        }
        let has_objective =
            |task: &Task| infos.get(task.key).is_some_and(|i| i.objective_us.is_some());
        if !state.tasks_on(vm.key).any(has_objective) {
            return release_all(vm, &batch, now);
        }
        let colocated: Vec<Colocated> = batch.iter().map(|task| task.colocated).collect();
        let protected = self.protected(inputs, vm.key, &colocated);
        let worst = protected.iter().max_by(|a, b| latency_ratio(a).total_cmp(&latency_ratio(b)));
        let Some(worst) = worst else { return Vec::new() };
        let ratio = latency_ratio(worst);
        if ratio > self.tuning.throttle_above {
            return self.slow(interference, vm, worst, &batch, now);
        }
        if ratio < self.tuning.release_below {
            let released = self.release(interference, vm, &protected, &batch, now);
            if !released.is_empty() {
                return released;
            }
        }
        self.move_throttled(state, vm, worst, &batch, find_better_vm, now)
    }

    /// Returns the services on a VM that have an objective, with their current latencies.
    fn protected(&self, inputs: &Inputs<'_>, vm: VmKey, colocated: &[Colocated]) -> Vec<Protected> {
        let Inputs { state, interference, infos, occupancy } = *inputs;
        let stable_at = occupancy.since(vm).unwrap_or(Millis(0)) + 1_000;
        let tasks = state.tasks_on(vm).filter(|task| !task.phase.ending());
        let service = |task: &Task| {
            let info = infos.get(task.key)?;
            let objective_us = info.objective_us?;
            let victim = interference.victim(info.kind);
            let baseline = interference.baseline(victim)?;
            let expected = baseline * interference.slowdown(victim, colocated);
            // Measurements from before the last change, and for a second after it, may not reflect
            // the current batch work.
            let latency = self.latencies.get(&task.key).filter(|m| m.at >= stable_at);
            let now_us = latency.map_or(expected, |latency| latency.p99_us);
            Some(Protected { unit: task.unit.clone(), victim, objective_us, baseline, now_us })
        };
        tasks.filter_map(service).collect()
    }

    /// Slows or pauses the batch tasks with the largest interference first, until the target is
    /// expected to be met.
    fn slow(
        &self,
        interference: &Interference,
        vm: &VmRecord,
        worst: &Protected,
        batch: &[Steerable<'_>],
        now: Millis,
    ) -> Vec<Change> {
        let target_us = worst.objective_us * self.tuning.target;
        let coefficient = |task: &Steerable<'_>| {
            interference.estimate(worst.victim, task.colocated.kind).mean.max(0.001)
        };
        let mut excess = (worst.now_us - target_us) / worst.baseline;
        let mut order: Vec<&Steerable<'_>> = batch.iter().filter(|task| task.share > 0).collect();
        order.sort_by(|a, b| coefficient(b).total_cmp(&coefficient(a)));
        let mut changes = Vec::new();
        for task in order {
            if excess <= 0.0 {
                break;
            }
            let reduction = (excess / coefficient(task) * 100.0).ceil() as u32;
            let reduction = reduction.div_ceil(SHARE_STEP) * SHARE_STEP;
            let share = task.share.saturating_sub(reduction);
            let share =
                if share >= MIN_SHARE || task.share > MIN_SHARE { share.max(MIN_SHARE) } else { 0 };
            excess -= coefficient(task) * f64::from(task.share - share) / 100.0;
            let action = if share == 0 { Action::Pause } else { Action::Slow(share) };
            let why = format!(
                "{} takes {:.1} ms of its objective of {:.1} ms; this task is expected to add \
                 {:.0} % at full speed",
                worst.unit,
                worst.now_us / 1000.0,
                worst.objective_us / 1000.0,
                coefficient(task) * 100.0
            );
            changes.push(steer(task, action, why, vm, now));
        }
        changes
    }

    /// Speeds up the throttled task with the least interference, as far as the services allow.
    fn release(
        &self,
        interference: &Interference,
        vm: &VmRecord,
        protected: &[Protected],
        batch: &[Steerable<'_>],
        now: Millis,
    ) -> Vec<Change> {
        let headroom = |service: &Protected| {
            (service.objective_us * self.tuning.target - service.now_us) / service.baseline
        };
        let coefficient = |task: &Steerable<'_>, service: &Protected| {
            interference.estimate(service.victim, task.colocated.kind).mean.max(0.001)
        };
        let max_coefficient = |task: &Steerable<'_>| {
            protected.iter().map(|service| coefficient(task, service)).fold(0.0, f64::max)
        };
        let mut throttled: Vec<&Steerable<'_>> =
            batch.iter().filter(|task| task.share < 100).collect();
        throttled.sort_by(|a, b| max_coefficient(a).total_cmp(&max_coefficient(b)));
        let Some(task) = throttled.first() else { return Vec::new() };
        let step = protected
            .iter()
            .map(|service| headroom(service) / coefficient(task, service) * 100.0)
            .fold(100.0, f64::min);
        let mut share = (task.share + step.max(0.0) as u32).min(100) / SHARE_STEP * SHARE_STEP;
        let mut why = "the services beside it have room below their objectives again";
        if share <= task.share {
            // A paused task yields no measurements; a small step shows whether it still interferes.
            if now.since(task.task.since) < self.tuning.probe_after_ms {
                return Vec::new();
            }
            share = task.share / SHARE_STEP * SHARE_STEP + SHARE_STEP;
            why = "it was held for long; a small step shows whether it still harms";
        }
        let action = if share >= 100 { Action::Release } else { Action::Slow(share) };
        let why = why.to_owned();
        vec![steer(task, action, why, vm, now)]
    }

    /// Moves a task that has been slowed or paused for long, if it may be moved and another VM
    /// suits it better.
    fn move_throttled(
        &mut self,
        state: &State,
        vm: &VmRecord,
        worst: &Protected,
        batch: &[Steerable<'_>],
        find_better_vm: &dyn Fn(&Task) -> Option<String>,
        now: Millis,
    ) -> Vec<Change> {
        let tasks = state.tasks().count();
        let budget = (tasks / 50).max(1);
        if self.recent_moves.len() >= budget {
            return Vec::new();
        }
        let may_move = |task: &&Steerable<'_>| {
            let throttled = task.share <= MOVABLE_SHARE;
            let long = now.since(task.task.since) >= self.tuning.move_after_ms;
            let moves = state.unit(&task.task.unit).map_or(0, |record| record.moves);
            throttled && long && moves < self.tuning.max_moves_per_job
        };
        let mut movable = batch.iter().filter(may_move);
        let found = movable.find_map(|task| Some((task, find_better_vm(task.task)?)));
        let Some((task, target_vm)) = found else { return Vec::new() };
        self.recent_moves.push(now);
        let seconds = now.since(task.task.since) / 1000;
        let why = format!(
            "it has had {} % of its processors for {seconds} s beside {}, which leaves it no more \
             here; {target_vm} would",
            task.share, worst.unit
        );
        vec![steer(task, Action::Move, why, vm, now)]
    }
}

/// Returns all batch tasks on a VM to full speed, as no service there has an objective any more.
fn release_all(vm: &VmRecord, batch: &[Steerable<'_>], now: Millis) -> Vec<Change> {
    let throttled = batch.iter().filter(|task| task.share < 100);
    let why = "no service with an objective is beside it any more";
    throttled.map(|task| steer(task, Action::Release, why.to_owned(), vm, now)).collect()
}

/// Returns a service's latency as a share of its objective; 1 means that the objective is just met.
fn latency_ratio(protected: &Protected) -> f64 {
    protected.now_us / protected.objective_us
}

fn steer(task: &Steerable<'_>, action: Action, why: String, vm: &VmRecord, now: Millis) -> Change {
    let decision = Decision::new(now, action, why).with_vm(&vm.vm.name);
    Change::Steer { at: now, task: task.task.key, decision }
}

/// Returns the share of processors that a task may use, in percent.
pub fn share_of(phase: Phase) -> u32 {
    match phase {
        Phase::Slowed(share) => share,
        Phase::Paused => 0,
        _ => 100,
    }
}

/// Returns the running batch tasks on a VM.
fn steerable<'a>(state: &'a State, infos: &InfoCache, vm: VmKey) -> Vec<Steerable<'a>> {
    let steer = |task: &'a Task| {
        let running = matches!(task.phase, Phase::Running | Phase::Slowed(_) | Phase::Paused);
        let Info { kind, .. } = infos.get(task.key).filter(|info| info.is_job && running)?;
        let share = share_of(task.phase);
        Some(Steerable {
            task,
            colocated: Colocated { kind, share: f64::from(share) / 100.0 },
            share,
        })
    };
    state.tasks_on(vm).filter_map(steer).collect()
}
