//! The reconciler.

use std::collections::{BTreeMap, BTreeSet};

use pond_platform::{
    Checkpoint, Ending, Lease, LeaseAnswer, RefusalCode, Start, StartAnswer, Stop, StopAnswer,
    TaskState, TaskStatus, Throttle,
};
use pond_proto::{Millis, Span, TaskKey, Vm, VmKey};
use pond_state::{Action, Change, Decision, End, Liveness, Phase, State, Task, VmRecord};

use super::contact::Contact;
use super::steps::{Answer, Call, Fact, Step, Times};

/// How long after a failed call to a task's worker the next one waits, in milliseconds.
const RETRY_MS: Span = 200;

/// How often a VM is looked at while nothing happens on it, in milliseconds.
const LOOK_MS: Span = 500;

/// Calls for tasks that may be under way to one worker.
const CALLS_PER_WORKER: usize = 16;

/// The reconciler of one time of leading.
#[derive(Debug)]
pub struct Reconciler {
    times: Times,
    term: u64,
    began: Millis,
    contacts: BTreeMap<VmKey, Contact>,
    /// Tasks with a call under way, and their VMs.
    calling: BTreeMap<TaskKey, VmKey>,
    /// Calls for a task wait until this time.
    wait: BTreeMap<TaskKey, Millis>,
    /// Tasks and VMs with a proposal under way.
    proposed: BTreeSet<TaskKey>,
    judged: BTreeSet<VmKey>,
    /// What each worker last said of its tasks, and when it was asked.
    statuses: BTreeMap<VmKey, (Millis, BTreeMap<TaskKey, TaskStatus>)>,
    /// When this reconciler first saw a task as running.
    seen_running: BTreeMap<TaskKey, Millis>,
    /// When each VM was last looked at; one that is missing is looked at at once.
    looked: BTreeMap<VmKey, Millis>,
    /// Calls for tasks under way, by VM.
    calls: BTreeMap<VmKey, usize>,
    listed: Option<BTreeSet<String>>,
    steps: Vec<Step>,
}

impl Reconciler {
    /// A reconciler for a leader that has just become ready.
    pub fn new(times: Times, term: u64, now: Millis) -> Reconciler {
        Reconciler {
            times,
            term,
            began: now,
            contacts: BTreeMap::new(),
            calling: BTreeMap::new(),
            wait: BTreeMap::new(),
            proposed: BTreeSet::new(),
            judged: BTreeSet::new(),
            statuses: BTreeMap::new(),
            seen_running: BTreeMap::new(),
            looked: BTreeMap::new(),
            calls: BTreeMap::new(),
            listed: None,
            steps: Vec::new(),
        }
    }

    /// Takes what the shell must do, in order.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    fn contact(&mut self, vm: VmKey) -> &mut Contact {
        // An earlier leader stopped granting before this one began.
        let (began, span) = (self.began, self.times.surely_over_ms);
        self.contacts.entry(vm).or_insert_with(|| Contact::new(began, span))
    }

    /// The platform's list came.
    pub fn listed(&mut self, state: &State, now: Millis, wall: Millis, vms: Vec<Vm>) {
        self.listed = Some(vms.iter().map(|vm| vm.name.clone()).collect());
        let changed: Vec<Vm> = vms
            .into_iter()
            .filter(|vm| state.vm_named(&vm.name).is_none_or(|record| record.vm != *vm))
            .collect();
        if !changed.is_empty() {
            self.steps.push(Step::Propose(Change::Listed { at: wall, vms: changed }));
        }
        let names = self.listed.clone().unwrap_or_default();
        for record in state.vms() {
            let missing = !names.contains(&record.vm.name);
            let contact = self.contact(record.key);
            contact.missing = match (missing, contact.missing) {
                (false, _) => None,
                (true, since) => since.or(Some(now)),
            };
        }
    }

    /// A proposal of this reconciler was applied or is lost.
    pub fn settled(&mut self, change: &Change) {
        match change {
            Change::Started { task, .. }
            | Change::Ended { task, .. }
            | Change::Steer { task, .. }
            | Change::Checkpointed { task, .. } => {
                self.proposed.remove(task);
            }
            Change::Judged { vm, .. } => {
                self.judged.remove(vm);
            }
            _ => {}
        }
    }

    /// A change is about to be applied: its VM is looked at at once.
    pub fn notice(&mut self, state: &State, change: &Change) {
        let task = match change {
            Change::Place { vm, .. } | Change::Judged { vm, .. } => {
                self.looked.remove(vm);
                return;
            }
            Change::Order { .. } | Change::Listed { .. } => return self.looked.clear(),
            Change::Steer { task, .. }
            | Change::Started { task, .. }
            | Change::Ended { task, .. }
            | Change::Checkpointed { task, .. } => *task,
            _ => return,
        };
        if let Some(task) = state.task(task) {
            self.looked.remove(&task.vm);
        }
    }

    /// A call to a worker ended.
    pub fn fact(&mut self, state: &State, now: Millis, wall: Millis, fact: Fact) {
        if let Some(task) = fact.call.task()
            && self.calling.remove(&task).is_some()
            && let Some(calls) = self.calls.get_mut(&fact.vm)
        {
            *calls = calls.saturating_sub(1);
        }
        self.looked.remove(&fact.vm);
        if matches!(fact.call, Call::Lease(_)) {
            self.contact(fact.vm).asking = false;
        }
        match fact.result {
            Ok(answer) => self.answer(state, now, wall, fact.vm, fact.call, fact.sent, answer),
            Err(error) => self.failed(state, now, wall, fact.vm, fact.call, error),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn answer(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        vm: VmKey,
        call: Call,
        sent: Millis,
        answer: Answer,
    ) {
        match (call, answer) {
            (_, Answer::Lease(answer)) => self.lease_answered(now, vm, sent, answer),
            (Call::Start(task, _), Answer::Start(answer)) => {
                self.contact(vm).hear(now, None);
                self.started(state, wall, task, answer);
            }
            (Call::Stop(task, _), Answer::Stop(answer)) => {
                self.contact(vm).hear(now, None);
                self.stopped(state, now, wall, task, answer);
            }
            (Call::Checkpoint(task, _), Answer::Status(status)) => {
                self.checkpointed(state, task, &status);
                self.note_status(vm, status);
            }
            (_, Answer::Status(status)) => self.note_status(vm, status),
            _ => {}
        }
    }

    fn note_status(&mut self, vm: VmKey, status: TaskStatus) {
        if let Some((_, statuses)) = self.statuses.get_mut(&vm) {
            statuses.insert(status.task, status);
        }
    }

    fn lease_answered(&mut self, now: Millis, vm: VmKey, sent: Millis, answer: LeaseAnswer) {
        self.contact(vm).hear(now, Some(answer.stamp));
        let statuses = answer.tasks.into_iter().map(|status| (status.task, status)).collect();
        self.statuses.insert(vm, (sent, statuses));
    }

    fn failed(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        vm: VmKey,
        call: Call,
        error: pond_platform::Error,
    ) {
        let Some(task) = call.task() else { return };
        self.wait.insert(task, now + RETRY_MS);
        let pond_platform::Error::Refused(refusal) = error else { return };
        match (&call, refusal.code) {
            (Call::Start(..), RefusalCode::Ended | RefusalCode::NoRoom) => {
                self.end(state, wall, task, End::Refused { reason: refusal.message });
            }
            (_, RefusalCode::StaleStamp) => self.contact(vm).asked = None,
            _ => {}
        }
    }

    fn started(&mut self, state: &State, wall: Millis, task: TaskKey, answer: StartAnswer) {
        let Some(known) = state.task(task) else { return };
        if known.phase == Phase::Starting {
            let endpoint = answer.status.endpoint;
            self.propose(task, Change::Started { at: wall, task, endpoint });
        }
    }

    fn checkpointed(&mut self, state: &State, task: TaskKey, status: &TaskStatus) {
        let known = state.task(task).map(|known| known.checkpoint);
        if let Some(checkpoint) = status.checkpoint.filter(|c| known.is_some_and(|k| k < Some(*c)))
        {
            self.propose(task, Change::Checkpointed { task, checkpoint });
        }
    }

    fn stopped(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        task: TaskKey,
        answer: StopAnswer,
    ) {
        if !answer.stopped {
            self.wait.insert(task, now + RETRY_MS);
            return;
        }
        let Some(known) = state.task(task) else { return };
        let end = match answer.ending {
            Some(Ending::Done) => End::Done,
            Some(Ending::Failed(reason)) => End::Failed { reason },
            _ if known.phase == Phase::Stopping => {
                End::Stopped { checkpoint: answer.checkpoint.or(known.checkpoint).unwrap_or(0) }
            }
            _ => End::Lost,
        };
        self.end(state, wall, task, end);
    }

    fn end(&mut self, state: &State, wall: Millis, task: TaskKey, end: End) {
        if state.task(task).is_some() {
            self.propose(task, Change::Ended { at: wall, task, end });
        }
    }

    fn propose(&mut self, task: TaskKey, change: Change) {
        if self.proposed.insert(task) {
            self.steps.push(Step::Propose(change));
        }
    }

    /// Lets time pass and hands out what is due.
    ///
    /// `quiet` tells whether the process beside a leaving endpoint runs nothing for it any more,
    /// or none if that process is not linked. `granting` is false when this replica may not be
    /// the only leader any more: then it renews and starts nothing.
    pub fn tick(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        granting: bool,
        quiet: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        for record in state.vms() {
            if self.looked.get(&record.key).is_some_and(|at| now.since(*at) < LOOK_MS) {
                continue;
            }
            self.looked.insert(record.key, now);
            self.judge(record, now, wall);
            self.expire(state, record, now, wall);
            if granting {
                self.renew(state, record, now);
                self.work(state, record, now, wall, quiet);
            }
        }
        self.forget(state, now);
    }

    /// Judges the liveness of a VM anew.
    fn judge(&mut self, record: &VmRecord, now: Millis, wall: Millis) {
        let times = self.times;
        let listed = self.listed.as_ref().map(|names| names.contains(&record.vm.name));
        let contact = self.contact(record.key);
        let fresh = contact.fresh(now, times.renew_ms * 3);
        let missing_long = contact.missing.is_some_and(|since| now.since(since) > times.missing_ms);
        let over = now >= contact.over && !fresh;
        let (liveness, why) = match listed {
            // Nothing is known before the first list and the first answers.
            None => return,
            Some(_) if contact.heard.is_none() && now.since(self.began) < times.renew_ms * 3 => {
                return;
            }
            Some(true) if fresh => (Liveness::Live, "listed, and its worker answers"),
            Some(true) => (Liveness::Suspect, "listed, but its worker does not answer"),
            Some(false) if over => (Liveness::Gone, "not listed, and its leases are over"),
            Some(false) if missing_long => (Liveness::Leaving, "missing from the list for long"),
            Some(false) => (Liveness::Suspect, "missing from the list"),
        };
        if record.liveness != liveness && self.judged.insert(record.key) {
            let change = Change::Judged { at: wall, vm: record.key, liveness, why: why.to_owned() };
            self.steps.push(Step::Propose(change));
        }
    }

    /// Gives up the tasks of a VM whose leases have surely run out without an answer.
    fn expire(&mut self, state: &State, record: &VmRecord, now: Millis, wall: Millis) {
        let renew_ms = self.times.renew_ms;
        let contact = self.contact(record.key);
        if now < contact.over || contact.fresh(now, renew_ms * 3) || contact.asking {
            return;
        }
        for task in state.tasks_on(record.key) {
            self.end(state, wall, task.key, End::Lost);
        }
    }

    fn renew(&mut self, state: &State, record: &VmRecord, now: Millis) {
        let Times { lease_ms, renew_ms, surely_over_ms, .. } = self.times;
        let term = self.term;
        let contact = self.contact(record.key);
        let due = contact.asked.is_none_or(|asked| now.since(asked) >= renew_ms);
        // Without a stamp the first answer is awaited before anything can start.
        if contact.asking || !due {
            return;
        }
        contact.asked = Some(now);
        contact.asking = true;
        contact.grant(surely_over_ms);
        let stamp = contact.stamp.map(|(stamp, _)| stamp);
        let tasks = state.tasks_on(record.key).map(|task| task.key).collect();
        let call = Call::Lease(Lease { term, stamp, lease_ms, tasks });
        self.call(record, call);
        if stamp.is_some() {
            self.call(record, Call::Usage);
        }
    }

    fn call(&mut self, record: &VmRecord, call: Call) {
        if let Some(task) = call.task() {
            self.calling.insert(task, record.key);
            *self.calls.entry(record.key).or_default() += 1;
        }
        let (vm, worker) = (record.key, record.vm.worker.clone());
        self.steps.push(Step::Call { vm, worker, call });
    }

    /// Hands out what the tasks of a VM need.
    fn work(
        &mut self,
        state: &State,
        record: &VmRecord,
        now: Millis,
        wall: Millis,
        quiet: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        if self.contact(record.key).stamp.is_none() {
            return;
        }
        self.stop_strangers(state, record, now);
        for task in state.tasks_on(record.key) {
            if !self.busy(task.key, record.key, now) {
                self.work_on(state, record, task, now, wall, quiet);
            }
        }
    }

    /// Whether a task must wait for a call, a proposal or its time.
    fn busy(&self, task: TaskKey, vm: VmKey, now: Millis) -> bool {
        let waits = self.wait.get(&task).is_some_and(|until| now < *until);
        waits
            || self.calls.get(&vm).is_some_and(|calls| *calls >= CALLS_PER_WORKER)
            || self.calling.contains_key(&task)
            || self.proposed.contains(&task)
    }

    /// Stops tasks that the worker has and the state does not give to it.
    fn stop_strangers(&mut self, state: &State, record: &VmRecord, now: Millis) {
        let Some((_, statuses)) = self.statuses.get(&record.key) else { return };
        let strange = |task: &TaskKey| state.task(*task).is_none_or(|t| t.vm != record.key);
        let strangers: Vec<TaskKey> = statuses.keys().copied().filter(strange).collect();
        for task in strangers {
            if self.busy(task, record.key, now) {
                continue;
            }
            self.wait.insert(task, now + self.times.renew_ms);
            let stop = Stop { term: self.term, grace_ms: 0 };
            self.call(record, Call::Stop(task, stop));
        }
    }

    fn work_on(
        &mut self,
        state: &State,
        record: &VmRecord,
        task: &Task,
        now: Millis,
        wall: Millis,
        quiet: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        match task.phase {
            Phase::Starting => self.start(state, record, task),
            Phase::Running => self.keep(state, record, task, now, wall, 100),
            Phase::Slowed(share) => self.keep(state, record, task, now, wall, share),
            Phase::Paused => self.pause(state, record, task, now, wall),
            Phase::Draining => self.drain(record, task, wall, quiet),
            Phase::Stopping => {
                let stop = Stop { term: self.term, grace_ms: self.times.grace_ms };
                self.call(record, Call::Stop(task.key, stop));
            }
        }
    }

    fn start(&mut self, state: &State, record: &VmRecord, task: &Task) {
        let Some(unit) = state.unit(&task.unit).map(|record| &record.unit) else { return };
        let surely_over_ms = self.times.surely_over_ms;
        let contact = self.contact(record.key);
        let Some((stamp, _)) = contact.stamp else { return };
        contact.grant(surely_over_ms);
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

    /// What the worker says of a task, if it was asked after the task was seen running here.
    fn status(&mut self, task: &Task, now: Millis) -> Option<Option<TaskStatus>> {
        let seen = *self.seen_running.entry(task.key).or_insert(now);
        let (asked, statuses) = self.statuses.get(&task.vm)?;
        match statuses.get(&task.key) {
            Some(status) => Some(Some(status.clone())),
            None if *asked > seen => Some(None),
            None => None,
        }
    }

    /// Keeps a task running at a share of its processors.
    fn keep(
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
            // The worker has lost it; a stop makes sure that no late start revives it.
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

    /// Checkpoints a task, then lets it stand still.
    fn pause(&mut self, state: &State, record: &VmRecord, task: &Task, now: Millis, wall: Millis) {
        let Some(Some(status)) = self.status(task, now) else {
            return self.keep(state, record, task, now, wall, 0);
        };
        let standing = status.share == 0;
        if !standing && status.checkpoint == task.checkpoint {
            let order = Checkpoint { term: self.term };
            return self.call(record, Call::Checkpoint(task.key, order));
        }
        self.keep(state, record, task, now, wall, 0);
    }

    /// Stops a draining endpoint once it is quiet, or has taken too long.
    fn drain(
        &mut self,
        record: &VmRecord,
        task: &Task,
        wall: Millis,
        quiet: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        let process = record.vm.endpoint_process.as_deref();
        let quiet = match process.filter(|_| task.endpoint.is_some()) {
            None => true,
            Some(process) => quiet(process, task.key.0).unwrap_or(false),
        };
        if !quiet && wall.since(task.since) < self.times.drain_ms {
            return;
        }
        let why = if quiet { "it has finished its requests" } else { "it drained for too long" };
        let decision = Decision::new(wall, Action::Stop, why).with_vm(&record.vm.name);
        self.propose(task.key, Change::Steer { at: wall, task: task.key, decision });
    }

    /// Forgets tasks and VMs that are no more.
    fn forget(&mut self, state: &State, now: Millis) {
        self.contacts.retain(|vm, _| state.vm(*vm).is_some());
        self.statuses.retain(|vm, _| state.vm(*vm).is_some());
        self.looked.retain(|vm, _| state.vm(*vm).is_some());
        self.calls.retain(|_, calls| *calls > 0);
        if self.seen_running.len() > state.tasks_len() * 2 + 1000 {
            self.seen_running.retain(|task, _| state.task(*task).is_some());
        }
        self.wait.retain(|_, until| now < *until);
    }
}

fn ended(ending: Ending) -> End {
    match ending {
        Ending::Done => End::Done,
        Ending::Failed(reason) => End::Failed { reason },
        Ending::Stopped | Ending::Expired => End::Lost,
    }
}
