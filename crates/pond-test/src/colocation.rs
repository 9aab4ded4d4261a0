//! VMs that services and batch jobs share, in virtual time, with a stated harm matrix.
//!
//! The scheduler and the replicated state are the real ones; workers are a few numbers: they start
//! what is placed, report late, and slow services down as the matrix says. No messages and no
//! clocks: what the scheduler plans is applied in the same step.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::{Labels, Millis, Size, TaskKey, Unit, Vm, VmKey};
use pond_sched::{Measured, Scheduler, Tuning};
use pond_state::{Action, Change, Decision, End, Liveness, Meta, Order, Phase, Standing, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time of one step, in milliseconds.
const STEP_MS: u64 = 500;

/// Time between reports, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Time that a move takes to checkpoint and stop, in milliseconds.
const STOP_MS: u64 = 1_000;

/// How a kind of batch job really behaves.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    /// How long it runs at full speed, in milliseconds.
    pub run_ms: f64,
    /// What it really uses of its declared size.
    pub uses: f64,
    /// It fails wherever it runs.
    pub fails: bool,
}

/// What a case is made of.
#[derive(Clone, Debug)]
pub struct Scene {
    /// VMs.
    pub vms: Vec<Vm>,
    /// Services.
    pub services: Vec<Unit>,
    /// How many jobs of each template are waiting at any time; a finished one is replaced.
    pub jobs: Vec<(Unit, Truth, usize)>,
    /// How much a kind of job slows a kind of service at full speed.
    pub harm: BTreeMap<(String, String), f64>,
    /// Undisturbed 99th percentile of each service kind, in microseconds.
    pub alone_us: BTreeMap<String, f64>,
    /// How late reports are, in milliseconds.
    pub lag_ms: u64,
    /// Load of the services over time, as a factor of latency.
    pub load: fn(u64) -> f64,
    /// Noise of batch jobs over time, as a factor of harm.
    pub waves: fn(u64) -> f64,
    /// A VM that fails every job.
    pub bad_vm: Option<String>,
    /// A rack that is lost at this time, in milliseconds.
    pub lost_rack: Option<(String, u64)>,
    /// Deadline factor: share of declared run times within which jobs must end, by template.
    pub seed: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Latencies over all services and steps, as a share of the undisturbed one, in thousandths.
    pub ratios: Vec<u32>,
    /// Steps of services within their objective.
    pub within: u64,
    /// Steps of services.
    pub steps: u64,
    /// Work of jobs that came to their end, in milliseconds of full speed.
    pub finished_ms: f64,
    /// All work done, in milliseconds of full speed.
    pub worked_ms: f64,
    /// Jobs that came to their end.
    pub finished: u64,
    /// Moves of jobs.
    pub evictions: u64,
    /// Work that was done twice, in milliseconds.
    pub lost_ms: f64,
    /// Jobs that ended after their deadline or are past it.
    pub missed: u64,
    /// Jobs with a deadline that ended in time.
    pub met: u64,
    /// VMs that were given more than they have, at any time.
    pub overcommitted: u64,
    /// Failed starts.
    pub failures: u64,
}

struct Running {
    progress_ms: f64,
    since_checkpoint_ms: f64,
    stop_at: Option<u64>,
}

/// A run of a scene.
pub struct Colocation {
    scene: Scene,
    /// The replicated state.
    pub state: State,
    scheduler: Scheduler,
    now: u64,
    running: BTreeMap<TaskKey, Running>,
    reports: VecDeque<(u64, Vec<Measured>)>,
    templates: BTreeMap<String, usize>,
    next_job: u64,
    rng: SmallRng,
    /// What came of it so far.
    pub outcome: Outcome,
}

impl Colocation {
    /// A scene with a scheduler.
    pub fn new(scene: Scene, tuning: Tuning) -> Colocation {
        let rng = SmallRng::seed_from_u64(scene.seed);
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
            scene,
        };
        run.begin();
        run
    }

    fn begin(&mut self) {
        let at = Millis(self.now);
        self.state.apply(Change::Listed { at, vms: self.scene.vms.clone() });
        self.judge_all(Liveness::Live, |_| true);
        self.order(self.scene.services.clone());
        for template in 0..self.scene.jobs.len() {
            for _ in 0..self.scene.jobs[template].2 {
                self.submit(template);
            }
        }
    }

    fn judge_all(&mut self, liveness: Liveness, of: impl Fn(&Vm) -> bool) {
        let at = Millis(self.now);
        let keys: Vec<VmKey> = self.state.vms().filter(|vm| of(&vm.vm)).map(|vm| vm.key).collect();
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
        let unit = &self.scene.jobs[template].0;
        let name = format!("{}-{}", unit.name, self.next_job);
        let labels = Labels::from([(Unit::KIND.to_owned(), unit.name.clone())]);
        let unit = Unit { name: name.clone(), labels, ..unit.clone() };
        self.templates.insert(name, template);
        self.order(vec![unit]);
    }

    fn truth(&self, unit: &str) -> Option<Truth> {
        self.templates.get(unit).map(|template| self.scene.jobs[*template].1)
    }

    /// Lets virtual time pass, in milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.lose_rack();
            self.work();
            self.measure();
            self.plan();
            self.check();
        }
    }

    fn elapsed(&self) -> u64 {
        self.now - 1_000_000
    }

    fn lose_rack(&mut self) {
        let Some((rack, at)) = self.scene.lost_rack.clone() else { return };
        if self.elapsed() < at || self.elapsed() >= at + STEP_MS {
            return;
        }
        self.judge_all(Liveness::Suspect, |vm| vm.labels.get(Vm::RACK) == Some(&rack));
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

    /// Starts what was placed, lets jobs get on, ends what is at its end.
    fn work(&mut self) {
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
                self.get_on(key, &task);
            }
        }
    }

    fn stop(&mut self, key: TaskKey, task: &pond_state::Task) {
        let now = self.now;
        let Some(running) = self.running.get_mut(&key) else { return };
        let at = *running.stop_at.get_or_insert(now + STOP_MS);
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

    fn get_on(&mut self, key: TaskKey, task: &pond_state::Task) {
        let Some(truth) = self.truth(&task.unit) else { return };
        let vm = self.state.vm(task.vm).map(|vm| vm.vm.name.clone());
        if truth.fails || (vm.is_some() && vm == self.scene.bad_vm) {
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
        if running.progress_ms >= truth.run_ms {
            self.finish(key, &task.unit, truth);
        }
    }

    fn finish(&mut self, key: TaskKey, unit: &str, truth: Truth) {
        self.outcome.finished += 1;
        self.outcome.finished_ms += truth.run_ms;
        let record = self.state.unit(unit);
        let deadline = record.and_then(|r| Some(r.created + r.unit.job()?.deadline_ms?));
        match deadline {
            Some(deadline) if Millis(self.now) > deadline => self.outcome.missed += 1,
            Some(_) => self.outcome.met += 1,
            None => {}
        }
        self.end(key, End::Done);
        if let Some(template) = self.templates.get(unit).copied() {
            self.submit(template);
        }
    }

    /// The true slowdown of a service on a VM.
    fn slowdown(&self, service: &str, vm: VmKey) -> f64 {
        let waves = (self.scene.waves)(self.elapsed());
        let mut slowdown = 1.0;
        for task in self.state.tasks_on(vm) {
            let Some(template) = self.templates.get(&task.unit) else { continue };
            let share = match task.phase {
                Phase::Slowed(share) => f64::from(share) / 100.0,
                Phase::Running | Phase::Stopping => 1.0,
                _ => 0.0,
            };
            let pair = (service.to_owned(), self.scene.jobs[*template].0.name.clone());
            slowdown += self.scene.harm.get(&pair).copied().unwrap_or(0.0) * share * waves;
        }
        slowdown
    }

    /// Measures all tasks now; the scheduler hears of it after the lag.
    fn measure(&mut self) {
        let load = (self.scene.load)(self.elapsed());
        let mut taken = Vec::new();
        let tasks: Vec<_> = self.state.tasks().filter(|t| t.started.is_some()).cloned().collect();
        for task in tasks {
            let Some(unit) = self.state.unit(&task.unit).map(|record| record.unit.clone()) else {
                continue;
            };
            let uses = self.truth(&task.unit).map_or(0.7, |truth| truth.uses);
            let mut p99_us = None;
            if let Some(service) = unit.service() {
                let kind = unit.workload_kind();
                let alone = self.scene.alone_us.get(kind).copied().unwrap_or(1000.0);
                let ratio = self.slowdown(kind, task.vm) * load;
                let noisy = alone * ratio * (1.0 + self.rng.random_range(-0.03..0.03));
                p99_us = Some(noisy as u64);
                self.outcome.ratios.push((ratio / load * 1000.0) as u32);
                self.outcome.steps += 1;
                let objective = f64::from(service.p99_ms.unwrap_or(u32::MAX)) * 1000.0;
                self.outcome.within += u64::from(alone * ratio <= objective);
            }
            taken.push(Measured {
                task: task.key,
                at: Millis(self.now),
                milli_cpu: (f64::from(task.size.milli_cpu) * uses) as u32,
                memory_mib: (f64::from(task.size.memory_mib) * uses) as u32,
                p99_us,
                rate: None,
            });
        }
        if self.now.is_multiple_of(REPORT_MS) {
            self.reports.push_back((self.now + self.scene.lag_ms, taken));
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
                let job = self.state.task(*task).is_some_and(|t| self.truth(&t.unit).is_some());
                self.outcome.evictions += u64::from(job);
            }
            self.state.apply(change);
        }
    }

    fn check(&mut self) {
        for vm in self.state.vms() {
            let taken =
                self.state.tasks_on(vm.key).fold(Size::default(), |sum, t| sum.plus(t.size));
            self.outcome.overcommitted += u64::from(!taken.fits(vm.vm.size));
        }
    }

    /// The decisions on a unit, as text.
    pub fn explained(&self, unit: &str) -> String {
        let record = self.state.unit(unit);
        let decisions = record.into_iter().flat_map(|record| &record.decisions);
        decisions.map(|d| format!("{:?}: {}\n", d.action, d.why)).collect()
    }

    /// Jobs that were given up.
    pub fn given_up(&self) -> usize {
        let failed = |standing: &Standing| matches!(standing, Standing::Failed { .. });
        self.state.units().filter(|record| failed(&record.standing)).count()
    }

    /// Failed runs on a VM.
    pub fn failures(&self) -> u64 {
        self.outcome.failures
    }
}

impl Outcome {
    /// A quantile of the latencies, as a share of the undisturbed one.
    pub fn ratio(&mut self, quantile: f64) -> f64 {
        self.ratios.sort_unstable();
        let place = ((self.ratios.len() as f64 * quantile) as usize).min(self.ratios.len() - 1);
        f64::from(self.ratios.get(place).copied().unwrap_or(0)) / 1000.0
    }
}
