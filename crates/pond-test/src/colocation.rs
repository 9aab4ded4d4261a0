//! A simulation, in virtual time, of services and batch jobs that share VMs.
//!
//! The scheduler and the replicated state are the production code. Workers are modelled by a few
//! numbers: they start placed tasks, report usage with a delay, and slow services down according to
//! a given interference matrix. There are no messages and no clocks: the changes that the scheduler
//! plans are applied in the same step.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::{Labels, Millis, Size, TaskKey, Unit, Vm, VmKey};
use pond_sched::{Measured, Scheduler, Tuning};
use pond_state::{Action, Change, Decision, End, Liveness, Meta, Order, Phase, Standing, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Duration of a simulation step, in milliseconds.
const STEP_MS: u64 = 500;

/// Interval between usage reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Time to checkpoint and stop a task, in milliseconds.
const CHECKPOINT_AND_STOP_MS: u64 = 1_000;

/// Actual behaviour of a kind of batch job.
#[derive(Clone, Copy, Debug)]
pub struct JobProfile {
    /// Run time at full speed, in milliseconds.
    pub run_ms: f64,
    /// Actual resource usage as a fraction of the declared size.
    pub usage: f64,
    /// Whether the job fails on every VM.
    pub fails: bool,
}

/// Definition of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// VMs of the deployment.
    pub vms: Vec<Vm>,
    /// Services of the deployment.
    pub services: Vec<Unit>,
    /// Job templates with their actual behaviour and the number of unfinished jobs of each. A finished
    /// job is replaced by a new one.
    pub jobs: Vec<(Unit, JobProfile, usize)>,
    /// Slowdown of a service kind, as a fraction of its latency, by a job kind at full speed. Keyed by
    /// service kind and job kind.
    pub interference: BTreeMap<(String, String), f64>,
    /// Undisturbed 99th percentile of the latency of each service kind, in microseconds.
    pub baseline_us: BTreeMap<String, f64>,
    /// Delay of usage reports, in milliseconds.
    pub lag_ms: u64,
    /// Load of the services as a factor on latency, by elapsed milliseconds.
    pub load: fn(u64) -> f64,
    /// Noise of batch jobs as a factor on interference, by elapsed milliseconds.
    pub noise: fn(u64) -> f64,
    /// Name of a VM on which every job fails.
    pub faulty_vm: Option<String>,
    /// Rack that fails, with the time of its failure in elapsed milliseconds.
    pub lost_rack: Option<(String, u64)>,
    /// Seed of the measurement noise.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Latencies of all services in all steps, in thousandths of the undisturbed latency.
    pub latency_ratios: Vec<u32>,
    /// Number of service steps within the latency objective.
    pub within_objective: u64,
    /// Number of service steps.
    pub steps: u64,
    /// Work of finished jobs, in milliseconds at full speed.
    pub finished_ms: f64,
    /// Work of all jobs, in milliseconds at full speed.
    pub worked_ms: f64,
    /// Number of finished jobs.
    pub finished: u64,
    /// Number of moves of jobs.
    pub evictions: u64,
    /// Work lost since the last checkpoint, in milliseconds.
    pub lost_ms: f64,
    /// Number of jobs that finished after their deadline.
    pub missed_deadlines: u64,
    /// Number of jobs that finished by their deadline.
    pub met_deadlines: u64,
    /// Number of VM steps in which more was allocated than the VM has.
    pub overcommitted: u64,
    /// Number of failed runs.
    pub failures: u64,
}

struct Running {
    progress_ms: f64,
    since_checkpoint_ms: f64,
    stop_at: Option<u64>,
}

/// Simulation of a scenario.
pub struct Colocation {
    scenario: Scenario,
    /// The replicated state.
    pub state: State,
    scheduler: Scheduler,
    now: u64,
    running: BTreeMap<TaskKey, Running>,
    reports: VecDeque<(u64, Vec<Measured>)>,
    templates: BTreeMap<String, usize>,
    next_job: u64,
    rng: SmallRng,
    /// Results so far.
    pub outcome: Outcome,
}

impl Colocation {
    /// Creates a simulation of a scenario with a scheduler of the given tuning.
    pub fn new(scenario: Scenario, tuning: Tuning) -> Colocation {
        let rng = SmallRng::seed_from_u64(scenario.seed);
        let mut run = Colocation {
            state: State::new(),
            scheduler: Scheduler::with_tuning(tuning),
            now: 1_000_000,
            running: BTreeMap::new(),
            reports: VecDeque::new(),
            templates: BTreeMap::new(),
            next_job: 0,
            rng,
            outcome: Outcome::default(),
            scenario,
        };
        run.setup();
        run
    }

    fn setup(&mut self) {
        let at = Millis(self.now);
        self.state.apply(Change::Listed { at, vms: self.scenario.vms.clone() });
        self.set_liveness(Liveness::Live, |_| true);
        self.order(self.scenario.services.clone());
        for template in 0..self.scenario.jobs.len() {
            for _ in 0..self.scenario.jobs[template].2 {
                self.submit(template);
            }
        }
    }

    fn set_liveness(&mut self, liveness: Liveness, matches: impl Fn(&Vm) -> bool) {
        let at = Millis(self.now);
        let keys: Vec<VmKey> =
            self.state.vms().filter(|vm| matches(&vm.vm)).map(|vm| vm.key).collect();
        for vm in keys {
            self.state.apply(Change::Judged { at, vm, liveness, why: String::new() });
        }
    }

    fn order(&mut self, units: Vec<Unit>) {
        let meta = Meta { at: Millis(self.now), ..Meta::default() };
        self.state.apply(Change::Order { meta, order: Order::Apply { units } });
        self.scheduler.units_changed();
    }

    fn submit(&mut self, template: usize) {
        self.next_job += 1;
        let unit = &self.scenario.jobs[template].0;
        let name = format!("{}-{}", unit.name, self.next_job);
        let labels = Labels::from([(Unit::KIND.to_owned(), unit.name.clone())]);
        let unit = Unit { name: name.clone(), labels, ..unit.clone() };
        self.templates.insert(name, template);
        self.order(vec![unit]);
    }

    fn profile(&self, unit: &str) -> Option<JobProfile> {
        self.templates.get(unit).map(|template| self.scenario.jobs[*template].1)
    }

    /// Advances the simulation by `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.lose_rack();
            self.run_tasks();
            self.measure();
            self.plan();
            self.check_allocation();
        }
    }

    fn elapsed(&self) -> u64 {
        self.now - 1_000_000
    }

    fn lose_rack(&mut self) {
        let Some((rack, at)) = self.scenario.lost_rack.clone() else { return };
        if self.elapsed() < at || self.elapsed() >= at + STEP_MS {
            return;
        }
        self.set_liveness(Liveness::Suspect, |vm| vm.labels.get(Vm::RACK) == Some(&rack));
        let lost = |vm: &Vm| vm.labels.get(Vm::RACK) == Some(&rack);
        let keys: Vec<TaskKey> = self
            .state
            .tasks()
            .filter(|task| self.state.vm(task.vm).is_some_and(|vm| lost(&vm.vm)))
            .map(|task| task.key)
            .collect();
        for task in keys {
            self.end(task, End::Lost);
        }
    }

    fn end(&mut self, task: TaskKey, end: End) {
        if let Some(running) = self.running.remove(&task)
            && end == End::Lost
        {
            self.outcome.lost_ms += running.since_checkpoint_ms;
        }
        self.state.apply(Change::Ended { at: Millis(self.now), task, end });
    }

    /// Starts placed tasks, advances jobs, and stops tasks that are ending.
    fn run_tasks(&mut self) {
        let keys: Vec<TaskKey> = self.state.tasks().map(|task| task.key).collect();
        for key in keys {
            let Some(task) = self.state.task(key).cloned() else { continue };
            if task.phase == Phase::Starting {
                let endpoint = None;
                self.state.apply(Change::Started { at: Millis(self.now), task: key, endpoint });
                let progress_ms = task.resume_from.unwrap_or(0) as f64;
                let running = Running { progress_ms, since_checkpoint_ms: 0.0, stop_at: None };
                self.running.insert(key, running);
                continue;
            }
            if task.phase.ending() {
                self.stop(key, &task);
            } else {
                self.advance(key, &task);
            }
        }
    }

    fn stop(&mut self, key: TaskKey, task: &pond_state::Task) {
        let now = self.now;
        let Some(running) = self.running.get_mut(&key) else { return };
        let at = *running.stop_at.get_or_insert(now + CHECKPOINT_AND_STOP_MS);
        if now < at {
            return;
        }
        let checkpoint = running.progress_ms as u64;
        if task.phase == Phase::Draining {
            let decision = Decision::new(Millis(now), Action::Stop, "drained");
            self.state.apply(Change::Steer { at: Millis(now), task: key, decision });
        }
        self.end(key, End::Stopped { checkpoint });
    }

    fn advance(&mut self, key: TaskKey, task: &pond_state::Task) {
        let Some(profile) = self.profile(&task.unit) else { return };
        let vm = self.state.vm(task.vm).map(|vm| vm.vm.name.clone());
        if profile.fails || (vm.is_some() && vm == self.scenario.faulty_vm) {
            self.outcome.failures += 1;
            return self.end(key, End::Failed { reason: "it failed".to_owned() });
        }
        let share = match task.phase {
            Phase::Slowed(share) => f64::from(share) / 100.0,
            Phase::Paused => 0.0,
            _ => 1.0,
        };
        let Some(running) = self.running.get_mut(&key) else { return };
        let step = STEP_MS as f64 * share;
        running.progress_ms += step;
        running.since_checkpoint_ms += step;
        self.outcome.worked_ms += step;
        if task.phase == Phase::Paused {
            running.since_checkpoint_ms = 0.0;
        }
        if running.progress_ms >= profile.run_ms {
            self.finish(key, &task.unit, profile);
        }
    }

    fn finish(&mut self, key: TaskKey, unit: &str, profile: JobProfile) {
        self.outcome.finished += 1;
        self.outcome.finished_ms += profile.run_ms;
        let record = self.state.unit(unit);
        let deadline = record.and_then(|r| Some(r.created + r.unit.job()?.deadline_ms?));
        match deadline {
            Some(deadline) if Millis(self.now) > deadline => self.outcome.missed_deadlines += 1,
            Some(_) => self.outcome.met_deadlines += 1,
            None => {}
        }
        self.end(key, End::Done);
        if let Some(template) = self.templates.get(unit).copied() {
            self.submit(template);
        }
    }

    /// Returns the actual slowdown factor of a service on a VM.
    fn slowdown(&self, service: &str, vm: VmKey) -> f64 {
        let noise = (self.scenario.noise)(self.elapsed());
        let mut slowdown = 1.0;
        for task in self.state.tasks_on(vm) {
            let Some(template) = self.templates.get(&task.unit) else { continue };
            let share = match task.phase {
                Phase::Slowed(share) => f64::from(share) / 100.0,
                Phase::Running | Phase::Stopping => 1.0,
                _ => 0.0,
            };
            let pair = (service.to_owned(), self.scenario.jobs[*template].0.name.clone());
            slowdown +=
                self.scenario.interference.get(&pair).copied().unwrap_or(0.0) * share * noise;
        }
        slowdown
    }

    /// Measures all tasks. The scheduler gets the reports after the delay of the scenario.
    fn measure(&mut self) {
        let load = (self.scenario.load)(self.elapsed());
        let mut measured = Vec::new();
        let tasks: Vec<_> = self.state.tasks().filter(|t| t.started.is_some()).cloned().collect();
        for task in tasks {
            let Some(unit) = self.state.unit(&task.unit).map(|record| record.unit.clone()) else {
                continue;
            };
            let usage = self.profile(&task.unit).map_or(0.7, |profile| profile.usage);
            let mut p99_us = None;
            if let Some(service) = unit.service() {
                let kind = unit.workload_kind();
                let baseline_us = self.scenario.baseline_us.get(kind).copied().unwrap_or(1000.0);
                let ratio = self.slowdown(kind, task.vm) * load;
                let noisy_us = baseline_us * ratio * (1.0 + self.rng.random_range(-0.03..0.03));
                p99_us = Some(noisy_us as u64);
                self.outcome.latency_ratios.push((ratio / load * 1000.0) as u32);
                self.outcome.steps += 1;
                let objective = f64::from(service.p99_ms.unwrap_or(u32::MAX)) * 1000.0;
                self.outcome.within_objective += u64::from(baseline_us * ratio <= objective);
            }
            measured.push(Measured {
                task: task.key,
                at: Millis(self.now),
                milli_cpu: (f64::from(task.size.milli_cpu) * usage) as u32,
                memory_mib: (f64::from(task.size.memory_mib) * usage) as u32,
                p99_us,
                rate: None,
            });
        }
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.reports.push_back((self.now + self.scenario.lag_ms, measured));
        }
        while self.reports.front().is_some_and(|(due, _)| *due <= self.now) {
            if let Some((_, reports)) = self.reports.pop_front() {
                self.scheduler.measure(&self.state, &reports);
            }
        }
    }

    fn plan(&mut self) {
        for change in self.scheduler.plan(&self.state, Millis(self.now)) {
            if let Change::Steer { decision: Decision { action: Action::Move, .. }, task, .. } =
                &change
            {
                let job = self.state.task(*task).is_some_and(|t| self.profile(&t.unit).is_some());
                self.outcome.evictions += u64::from(job);
            }
            self.state.apply(change);
        }
    }

    fn check_allocation(&mut self) {
        for vm in self.state.vms() {
            let allocated =
                self.state.tasks_on(vm.key).fold(Size::default(), |sum, t| sum.plus(t.size));
            self.outcome.overcommitted += u64::from(!allocated.fits(vm.vm.size));
        }
    }

    /// Returns the decisions on a unit as text, one per line.
    pub fn explained(&self, unit: &str) -> String {
        let record = self.state.unit(unit);
        let decisions = record.into_iter().flat_map(|record| &record.decisions);
        decisions.map(|d| format!("{:?}: {}\n", d.action, d.why)).collect()
    }

    /// Returns the number of jobs that were given up.
    pub fn given_up(&self) -> usize {
        let failed = |standing: &Standing| matches!(standing, Standing::Failed { .. });
        self.state.units().filter(|record| failed(&record.standing)).count()
    }

    /// Returns the number of failed runs.
    pub fn failures(&self) -> u64 {
        self.outcome.failures
    }
}

impl Outcome {
    /// Returns a quantile of the latencies, as a fraction of the undisturbed latency.
    pub fn latency_ratio(&mut self, quantile: f64) -> f64 {
        self.latency_ratios.sort_unstable();
        let index = ((self.latency_ratios.len() as f64 * quantile) as usize)
            .min(self.latency_ratios.len() - 1);
        f64::from(self.latency_ratios.get(index).copied().unwrap_or(0)) / 1000.0
    }
}
