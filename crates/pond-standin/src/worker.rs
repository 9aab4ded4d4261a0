//! A simulated worker as a state machine without I/O.

use std::collections::BTreeMap;

use pond_platform::{
    Ending, Lease, LeaseAnswer, Refusal, RefusalCode, Report, Stamp, Start, Stop, StopAnswer,
    TaskState, TaskStatus, Usage,
};
use pond_proto::{Millis, Size, Span, TaskKey};

use crate::program::Program;

/// Maximum number of measurements that are kept for lagging reports.
const MAX_MEASUREMENTS: usize = 256;

/// Task at the worker.
#[derive(Clone, Debug)]
pub struct HostedTask {
    /// Request that started the task.
    pub start: Start,
    /// Parsed program.
    pub program: Program,
    /// State of the task.
    pub state: TaskState,
    /// Share of its processors that the task may use, in percent.
    pub share: u32,
    /// Work done, in milliseconds at full speed.
    pub progress_ms: f64,
    /// Last checkpoint.
    pub checkpoint: Option<u64>,
    /// Address of the endpoint, for a service.
    pub endpoint: Option<String>,
    lease_until: Millis,
}

impl HostedTask {
    fn status(&self, task: TaskKey) -> TaskStatus {
        TaskStatus {
            task,
            state: self.state.clone(),
            share: self.share,
            checkpoint: self.checkpoint,
            endpoint: self.endpoint.clone(),
        }
    }

    /// Returns whether the task occupies resources, that is, has not ended.
    pub fn is_active(&self) -> bool {
        !matches!(self.state, TaskState::Ended(_))
    }

    fn is_service(&self) -> bool {
        self.start.slots > 0
    }
}

/// Worker with its tasks, their leases and their measurements.
#[derive(Debug)]
pub struct Worker {
    incarnation: u64,
    size: Size,
    term: u64,
    tasks: BTreeMap<TaskKey, HostedTask>,
    stopped: BTreeMap<TaskKey, Option<u64>>,
    now: Millis,
    usage_lag_ms: Span,
    history: Vec<(Millis, Vec<Report>)>,
    /// Peak of the allocated resources, to check that they never exceed the size of the worker.
    pub peak: Size,
}

impl Worker {
    /// Creates a worker without tasks. Usage reports lag by `usage_lag_ms` milliseconds.
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

    /// Returns all tasks, including ended ones that were not stopped yet.
    pub fn tasks(&self) -> &BTreeMap<TaskKey, HostedTask> {
        &self.tasks
    }

    /// Returns the factor by which services are slower than on an undisturbed VM.
    pub fn slowdown(&self) -> f64 {
        let running = self.tasks.values().filter(|hosted| hosted.is_active());
        1.0 + running
            .map(|hosted| hosted.program.noise * f64::from(hosted.share) / 100.0)
            .sum::<f64>()
    }

    /// Advances the clock to `now`: jobs make progress and leases expire.
    pub fn tick(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.now) as f64;
        self.now = self.now.max(now);
        for hosted in self.tasks.values_mut().filter(|hosted| hosted.state == TaskState::Running) {
            if now >= hosted.lease_until {
                hosted.state = TaskState::Ended(Ending::Expired);
                continue;
            }
            if hosted.is_service() {
                continue;
            }
            hosted.progress_ms += elapsed_ms * f64::from(hosted.share) / 100.0;
            if hosted.program.fails {
                hosted.state = TaskState::Ended(Ending::Failed("it was told to fail".to_owned()));
            } else if hosted.progress_ms >= hosted.program.run_ms as f64 {
                hosted.state = TaskState::Ended(Ending::Done);
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
        let running = self.tasks.iter().filter(|(_, hosted)| hosted.is_active());
        let reports = running.map(|(task, hosted)| report(*task, hosted, slowdown)).collect();
        self.history.push((self.now, reports));
        if self.history.len() > MAX_MEASUREMENTS {
            self.history.remove(0);
        }
    }

    /// Returns the newest measurement that is at least `usage_lag_ms` old.
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

    /// Returns the end of a lease.
    ///
    /// # Errors
    /// If the lease has expired already, or the stamp is from another incarnation or the future.
    fn lease_end(&self, stamp: Stamp, lease_ms: u64) -> Result<Millis, Refusal> {
        let end = Millis(stamp.ms) + lease_ms;
        if stamp.incarnation != self.incarnation || stamp.ms > self.now.0 || end <= self.now {
            let message = "the stamp is too old or from another life".to_owned();
            return Err(Refusal { code: RefusalCode::StaleStamp, message });
        }
        Ok(end)
    }

    /// Renews the leases of the named tasks and returns the status of all tasks.
    pub fn lease(&mut self, request: &Lease) -> Result<LeaseAnswer, Refusal> {
        self.check_term(request.term)?;
        if let Some(Ok(end)) = request.stamp.map(|stamp| self.lease_end(stamp, request.lease_ms)) {
            for task in &request.tasks {
                if let Some(hosted) = self.tasks.get_mut(task) {
                    hosted.lease_until = hosted.lease_until.max(end);
                }
            }
        }
        let tasks = self.tasks.iter().map(|(task, hosted)| hosted.status(*task)).collect();
        Ok(LeaseAnswer { stamp: self.stamp(), tasks })
    }

    /// Starts a task and returns its status. A known task is not started again.
    ///
    /// # Errors
    /// If the term is outdated, the task was stopped before, the lease has expired, or resources
    /// are missing.
    pub fn start(&mut self, task: TaskKey, request: Start) -> Result<TaskStatus, Refusal> {
        self.check_term(request.term)?;
        if let Some(hosted) = self.tasks.get(&task) {
            return Ok(hosted.status(task));
        }
        if self.stopped.contains_key(&task) {
            let message = format!("{task} was stopped");
            return Err(Refusal { code: RefusalCode::Ended, message });
        }
        let lease_until = self.lease_end(request.stamp, request.lease_ms)?;
        let allocated_after = self.allocated().plus(request.size);
        if !allocated_after.fits(self.size) {
            let message = format!("{} are taken of {}", self.allocated(), self.size);
            return Err(Refusal { code: RefusalCode::NoRoom, message });
        }
        self.peak = Size {
            milli_cpu: self.peak.milli_cpu.max(allocated_after.milli_cpu),
            memory_mib: self.peak.memory_mib.max(allocated_after.memory_mib),
            accelerators: self.peak.accelerators.max(allocated_after.accelerators),
        };
        let hosted = HostedTask {
            program: Program::parse(&request.program),
            state: TaskState::Running,
            share: 100,
            progress_ms: request.resume_from.unwrap_or(0) as f64,
            checkpoint: request.resume_from,
            endpoint: None,
            lease_until,
            start: request,
        };
        let status = hosted.status(task);
        self.tasks.insert(task, hosted);
        Ok(status)
    }

    /// Sets the endpoint address of a service that has started.
    pub fn set_endpoint(&mut self, task: TaskKey, address: &str) -> Option<TaskStatus> {
        let hosted = self.tasks.get_mut(&task)?;
        hosted.endpoint = Some(address.to_owned());
        Some(hosted.status(task))
    }

    fn hosted_mut(&mut self, task: TaskKey) -> Result<&mut HostedTask, Refusal> {
        let message = format!("{task} is not known");
        self.tasks.get_mut(&task).ok_or(Refusal { code: RefusalCode::NoTask, message })
    }

    /// Makes a checkpoint of a task and returns its status.
    pub fn checkpoint(&mut self, task: TaskKey, term: u64) -> Result<TaskStatus, Refusal> {
        self.check_term(term)?;
        let hosted = self.hosted_mut(task)?;
        if hosted.is_active() {
            hosted.checkpoint = Some(hosted.progress_ms as u64);
        }
        Ok(hosted.status(task))
    }

    /// Sets the processor share of a task in percent and returns its status.
    pub fn throttle(
        &mut self,
        task: TaskKey,
        term: u64,
        share: u32,
    ) -> Result<TaskStatus, Refusal> {
        self.check_term(term)?;
        let hosted = self.hosted_mut(task)?;
        hosted.share = share.min(100);
        Ok(hosted.status(task))
    }

    /// Stops a task permanently, so that it can never be started again.
    pub fn stop(&mut self, task: TaskKey, request: &Stop) -> Result<StopAnswer, Refusal> {
        self.check_term(request.term)?;
        let Some(hosted) = self.tasks.remove(&task) else {
            let checkpoint = *self.stopped.entry(task).or_default();
            return Ok(StopAnswer { stopped: true, checkpoint, ending: None });
        };
        let ending = match &hosted.state {
            TaskState::Ended(ending) => Some(ending.clone()),
            _ => None,
        };
        let checkpoint = match ending {
            None if !hosted.is_service() => Some(hosted.progress_ms as u64),
            _ => hosted.checkpoint,
        };
        self.stopped.insert(task, checkpoint);
        Ok(StopAnswer { stopped: true, checkpoint, ending })
    }

    fn allocated(&self) -> Size {
        let running = self.tasks.values().filter(|hosted| hosted.is_active());
        running.fold(Size::default(), |sum, hosted| sum.plus(hosted.start.size))
    }
}

fn report(task: TaskKey, hosted: &HostedTask, slowdown: f64) -> Report {
    let share = f64::from(hosted.share) / 100.0 * hosted.program.use_share;
    let is_service = hosted.is_service();
    // The 99th percentile lies slightly above the mean service time.
    let p99 = hosted.program.service_us as f64 * slowdown * 1.1;
    Report {
        task,
        age_ms: 0,
        milli_cpu: (f64::from(hosted.start.size.milli_cpu) * share) as u32,
        memory_mib: (f64::from(hosted.start.size.memory_mib) * hosted.program.use_share) as u32,
        p99_us: is_service.then_some(p99 as u64),
        rate: None,
        progress_ms: (!is_service).then_some(hosted.progress_ms as u64),
    }
}
