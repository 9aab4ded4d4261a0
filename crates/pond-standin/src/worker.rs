//! The worker as a pure state machine.

use std::collections::BTreeMap;

use pond_platform::{
    Ending, Lease, LeaseAnswer, Refusal, RefusalCode, Report, Stamp, Start, Stop, StopAnswer,
    TaskState, TaskStatus, Usage,
};
use pond_proto::{Millis, Size, Span, TaskKey};

use crate::program::Program;

/// How many measurements back a lagging report reaches.
const HISTORY: usize = 256;

/// One task at the worker.
#[derive(Clone, Debug)]
pub struct Held {
    /// The order that started it.
    pub start: Start,
    /// The program, read.
    pub program: Program,
    /// Where it stands.
    pub state: TaskState,
    /// Hundredths of its processors that it may use.
    pub share: u32,
    /// Work done, in milliseconds of full speed.
    pub progress_ms: f64,
    /// The last checkpoint.
    pub checkpoint: Option<u64>,
    /// The endpoint's address, for a service.
    pub endpoint: Option<String>,
    lease_until: Millis,
}

impl Held {
    fn status(&self, task: TaskKey) -> TaskStatus {
        TaskStatus {
            task,
            state: self.state.clone(),
            share: self.share,
            checkpoint: self.checkpoint,
            endpoint: self.endpoint.clone(),
        }
    }

    /// Whether it still takes room.
    pub fn is_active(&self) -> bool {
        !matches!(self.state, TaskState::Ended(_))
    }

    fn service(&self) -> bool {
        self.start.slots > 0
    }
}

/// A worker: its tasks, their leases and their measurements.
#[derive(Debug)]
pub struct Worker {
    incarnation: u64,
    size: Size,
    term: u64,
    tasks: BTreeMap<TaskKey, Held>,
    stopped: BTreeMap<TaskKey, Option<u64>>,
    now: Millis,
    usage_lag_ms: Span,
    history: Vec<(Millis, Vec<Report>)>,
    /// The most it ever ran at one time, to show that it was never more than it has.
    pub peak: Size,
}

impl Worker {
    /// A worker that runs nothing.
    pub fn new(incarnation: u64, size: Size, usage_lag_ms: Span) -> Worker {
        Worker {
            incarnation,
            size,
            term: 0,
            tasks: BTreeMap::new(),
            stopped: BTreeMap::new(),
            now: Millis(0),
            usage_lag_ms,
            history: Vec::new(),
            peak: Size::default(),
        }
    }

    /// Its tasks, ended ones among them.
    pub fn tasks(&self) -> &BTreeMap<TaskKey, Held> {
        &self.tasks
    }

    /// How much slower services are than on an undisturbed VM.
    pub fn slowdown(&self) -> f64 {
        let running = self.tasks.values().filter(|held| held.is_active());
        1.0 + running.map(|held| held.program.noise * f64::from(held.share) / 100.0).sum::<f64>()
    }

    /// Lets time pass: jobs get on, leases run out.
    pub fn tick(&mut self, now: Millis) {
        let passed = now.since(self.now) as f64;
        self.now = self.now.max(now);
        for held in self.tasks.values_mut().filter(|held| held.state == TaskState::Running) {
            if now >= held.lease_until {
                held.state = TaskState::Ended(Ending::Expired);
                continue;
            }
            if held.service() {
                continue;
            }
            held.progress_ms += passed * f64::from(held.share) / 100.0;
            if held.program.fails {
                held.state = TaskState::Ended(Ending::Failed("it was told to fail".to_owned()));
            } else if held.progress_ms >= held.program.run_ms as f64 {
                held.state = TaskState::Ended(Ending::Done);
            }
        }
        self.measure();
    }

    fn measure(&mut self) {
        let due = self.history.last().is_none_or(|(at, _)| self.now.since(*at) >= 500);
        if !due {
            return;
        }
        let slowdown = self.slowdown();
        let running = self.tasks.iter().filter(|(_, held)| held.is_active());
        let reports = running.map(|(task, held)| report(*task, held, slowdown)).collect();
        self.history.push((self.now, reports));
        if self.history.len() > HISTORY {
            self.history.remove(0);
        }
    }

    /// What was measured as long ago as reports are late.
    pub fn usage(&self) -> Usage {
        let at = self.now - self.usage_lag_ms;
        let found = self.history.iter().rev().find(|(measured, _)| *measured <= at);
        let Some((measured, reports)) = found else { return Usage { reports: Vec::new() } };
        let age_ms = self.now.since(*measured);
        let aged = reports.iter().map(|report| Report { age_ms, ..report.clone() });
        Usage { reports: aged.collect() }
    }

    fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.incarnation, ms: self.now.0 }
    }

    fn check_term(&mut self, term: u64) -> Result<(), Refusal> {
        if term < self.term {
            let message = format!("term {term} is lower than {}", self.term);
            return Err(Refusal { code: RefusalCode::OldTerm, message });
        }
        self.term = term;
        Ok(())
    }

    /// The end of a lease, if it is not over already.
    fn lease_end(&self, stamp: Stamp, lease_ms: u64) -> Result<Millis, Refusal> {
        let end = Millis(stamp.ms) + lease_ms;
        if stamp.incarnation != self.incarnation || stamp.ms > self.now.0 || end <= self.now {
            let message = "the stamp is too old or from another life".to_owned();
            return Err(Refusal { code: RefusalCode::StaleStamp, message });
        }
        Ok(end)
    }

    /// Renews leases and tells what there is.
    pub fn lease(&mut self, order: &Lease) -> Result<LeaseAnswer, Refusal> {
        self.check_term(order.term)?;
        if let Some(Ok(end)) = order.stamp.map(|stamp| self.lease_end(stamp, order.lease_ms)) {
            for task in &order.tasks {
                if let Some(held) = self.tasks.get_mut(task) {
                    held.lease_until = held.lease_until.max(end);
                }
            }
        }
        let tasks = self.tasks.iter().map(|(task, held)| held.status(*task)).collect();
        Ok(LeaseAnswer { stamp: self.stamp(), tasks })
    }

    /// Starts a task, unless it is known or was stopped.
    pub fn start(&mut self, task: TaskKey, order: Start) -> Result<TaskStatus, Refusal> {
        self.check_term(order.term)?;
        if let Some(held) = self.tasks.get(&task) {
            return Ok(held.status(task));
        }
        if self.stopped.contains_key(&task) {
            let message = format!("{task} was stopped");
            return Err(Refusal { code: RefusalCode::Ended, message });
        }
        let lease_until = self.lease_end(order.stamp, order.lease_ms)?;
        let after = self.taken().plus(order.size);
        if !after.fits(self.size) {
            let message = format!("{} are taken of {}", self.taken(), self.size);
            return Err(Refusal { code: RefusalCode::NoRoom, message });
        }
        self.peak = Size {
            milli_cpu: self.peak.milli_cpu.max(after.milli_cpu),
            memory_mib: self.peak.memory_mib.max(after.memory_mib),
            accelerators: self.peak.accelerators.max(after.accelerators),
        };
        let held = Held {
            program: Program::parse(&order.program),
            state: TaskState::Running,
            share: 100,
            progress_ms: order.resume_from.unwrap_or(0) as f64,
            checkpoint: order.resume_from,
            endpoint: None,
            lease_until,
            start: order,
        };
        let status = held.status(task);
        self.tasks.insert(task, held);
        Ok(status)
    }

    /// Sets the address of a service that has come up.
    pub fn set_endpoint(&mut self, task: TaskKey, address: &str) -> Option<TaskStatus> {
        let held = self.tasks.get_mut(&task)?;
        held.endpoint = Some(address.to_owned());
        Some(held.status(task))
    }

    fn held(&mut self, task: TaskKey) -> Result<&mut Held, Refusal> {
        let message = format!("{task} is not known");
        self.tasks.get_mut(&task).ok_or(Refusal { code: RefusalCode::NoTask, message })
    }

    /// Makes a checkpoint.
    pub fn checkpoint(&mut self, task: TaskKey, term: u64) -> Result<TaskStatus, Refusal> {
        self.check_term(term)?;
        let held = self.held(task)?;
        if held.is_active() {
            held.checkpoint = Some(held.progress_ms as u64);
        }
        Ok(held.status(task))
    }

    /// Sets how fast a task runs.
    pub fn throttle(
        &mut self,
        task: TaskKey,
        term: u64,
        share: u32,
    ) -> Result<TaskStatus, Refusal> {
        self.check_term(term)?;
        let held = self.held(task)?;
        held.share = share.min(100);
        Ok(held.status(task))
    }

    /// Stops a task for good.
    pub fn stop(&mut self, task: TaskKey, order: &Stop) -> Result<StopAnswer, Refusal> {
        self.check_term(order.term)?;
        let Some(held) = self.tasks.remove(&task) else {
            let checkpoint = *self.stopped.entry(task).or_default();
            return Ok(StopAnswer { stopped: true, checkpoint, ending: None });
        };
        let ending = match &held.state {
            TaskState::Ended(ending) => Some(ending.clone()),
            _ => None,
        };
        let checkpoint = match ending {
            None if !held.service() => Some(held.progress_ms as u64),
            _ => held.checkpoint,
        };
        self.stopped.insert(task, checkpoint);
        Ok(StopAnswer { stopped: true, checkpoint, ending })
    }

    fn taken(&self) -> Size {
        let running = self.tasks.values().filter(|held| held.is_active());
        running.fold(Size::default(), |sum, held| sum.plus(held.start.size))
    }
}

fn report(task: TaskKey, held: &Held, slowdown: f64) -> Report {
    let share = f64::from(held.share) / 100.0 * held.program.use_share;
    let service = held.service();
    // An endpoint's tail lies a little above its mean service time.
    let p99 = held.program.service_us as f64 * slowdown * 1.1;
    Report {
        task,
        age_ms: 0,
        milli_cpu: (f64::from(held.start.size.milli_cpu) * share) as u32,
        memory_mib: (f64::from(held.start.size.memory_mib) * held.program.use_share) as u32,
        p99_us: service.then_some(p99 as u64),
        rate: None,
        progress_ms: (!service).then_some(held.progress_ms as u64),
    }
}
