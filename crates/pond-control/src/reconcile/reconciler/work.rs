//! Calls that bring the tasks of a VM to their phases: starts, throttling, pauses and stops.

use pond_platform::{Checkpoint, Ending, Start, Stop, TaskState, TaskStatus, Throttle};
use pond_proto::{Millis, TaskKey};
use pond_state::{Action, Change, Decision, End, Phase, State, Task, VmRecord};

use super::super::steps::Call;
use super::Reconciler;

impl Reconciler {
    /// Issues the calls that the tasks of a VM need.
    pub(super) fn drive_tasks(
        &mut self,
        state: &State,
        record: &VmRecord,
        now: Millis,
        wall: Millis,
        is_drained: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        if self.contact(record.key).stamp.is_none() {
            return;
        }
        self.stop_unassigned(state, record, now);
        for task in state.tasks_on(record.key) {
            if !self.is_busy(task.key, record.key, now) {
                self.drive_task(state, record, task, now, wall, is_drained);
            }
        }
    }

    /// Stops tasks that the worker reports but that the state does not place on its VM.
    fn stop_unassigned(&mut self, state: &State, record: &VmRecord, now: Millis) {
        let Some((_, statuses)) = self.statuses.get(&record.key) else { return };
        let is_unassigned = |task: &TaskKey| state.task(*task).is_none_or(|t| t.vm != record.key);
        let unassigned: Vec<TaskKey> = statuses.keys().copied().filter(is_unassigned).collect();
        for task in unassigned {
            if self.is_busy(task, record.key, now) {
                continue;
            }
            self.delayed_until.insert(task, now + self.times.renew_ms);
            let stop = Stop { term: self.term, grace_ms: 0 };
            self.call(record, Call::Stop(task, stop));
        }
    }

    fn drive_task(
        &mut self,
        state: &State,
        record: &VmRecord,
        task: &Task,
        now: Millis,
        wall: Millis,
        is_drained: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        match task.phase {
            Phase::Starting => self.start(state, record, task),
            Phase::Running => self.keep_running(state, record, task, now, wall, 100),
            Phase::Slowed(share) => self.keep_running(state, record, task, now, wall, share),
            Phase::Paused => self.pause(state, record, task, now, wall),
            Phase::Draining => self.drain(record, task, wall, is_drained),
            Phase::Stopping => {
                let stop = Stop { term: self.term, grace_ms: self.times.grace_ms };
                self.call(record, Call::Stop(task.key, stop));
            }
        }
    }

    fn start(&mut self, state: &State, record: &VmRecord, task: &Task) {
        let Some(unit) = state.unit(&task.unit).map(|record| &record.unit) else { return };
        let lease_expiry_ms = self.times.lease_expiry_ms;
        let contact = self.contact(record.key);
        let Some((stamp, _)) = contact.stamp else { return };
        contact.extend_leases(lease_expiry_ms);
        let service = unit.service();
        let order = Start {
            term: self.term,
            stamp,
            lease_ms: self.times.lease_ms,
            unit: task.unit.clone(),
            program: unit.program.clone(),
            size: task.size,
            slots: service.map_or(0, |service| service.slots),
            connections: service.map_or(0, |service| service.connections),
            resume_from: task.resume_from,
        };
        self.call(record, Call::Start(task.key, order));
    }

    /// Returns the worker's status of a task: `Some(None)` if the worker does not know the task,
    /// and `None` if its last report was requested before the task was seen running here.
    fn status(&mut self, task: &Task, now: Millis) -> Option<Option<TaskStatus>> {
        let seen = *self.seen_running.entry(task.key).or_insert(now);
        let (requested_at, statuses) = self.statuses.get(&task.vm)?;
        match statuses.get(&task.key) {
            Some(status) => Some(Some(status.clone())),
            None if *requested_at > seen => Some(None),
            None => None,
        }
    }

    /// Keeps a task running with a share of its processors.
    fn keep_running(
        &mut self,
        state: &State,
        record: &VmRecord,
        task: &Task,
        now: Millis,
        wall: Millis,
        share: u32,
    ) {
        match self.status(task, now) {
            None => {}
            // The worker does not know the task; a stop prevents a delayed start call from reviving
            // it.
            Some(None) => {
                let stop = Stop { term: self.term, grace_ms: 0 };
                self.call(record, Call::Stop(task.key, stop));
            }
            Some(Some(status)) => match status.state {
                TaskState::Ended(ending) => self.end(state, wall, task.key, ended(ending)),
                TaskState::Running if status.share != share => {
                    let order = Throttle { term: self.term, share };
                    self.call(record, Call::Throttle(task.key, order));
                }
                _ => {}
            },
        }
    }

    /// Checkpoints a task, then pauses it.
    fn pause(&mut self, state: &State, record: &VmRecord, task: &Task, now: Millis, wall: Millis) {
        let Some(Some(status)) = self.status(task, now) else {
            return self.keep_running(state, record, task, now, wall, 0);
        };
        let paused = status.share == 0;
        if !paused && status.checkpoint == task.checkpoint {
            let order = Checkpoint { term: self.term };
            return self.call(record, Call::Checkpoint(task.key, order));
        }
        self.keep_running(state, record, task, now, wall, 0);
    }

    /// Stops a draining endpoint once it has finished its requests or has taken too long.
    fn drain(
        &mut self,
        record: &VmRecord,
        task: &Task,
        wall: Millis,
        is_drained: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        let process = record.vm.endpoint_process.as_deref();
        let drained = match process.filter(|_| task.endpoint.is_some()) {
            None => true,
            Some(process) => is_drained(process, task.key.0).unwrap_or(false),
        };
        if !drained && wall.since(task.since) < self.times.drain_ms {
            return;
        }
        let why = if drained { "it has finished its requests" } else { "it drained for too long" };
        let decision = Decision::new(wall, Action::Stop, why).with_vm(&record.vm.name);
        self.propose(task.key, Change::Steer { at: wall, task: task.key, decision });
    }
}

fn ended(ending: Ending) -> End {
    match ending {
        Ending::Done => End::Done,
        Ending::Failed(reason) => End::Failed { reason },
        Ending::Stopped | Ending::Expired => End::Lost,
    }
}
