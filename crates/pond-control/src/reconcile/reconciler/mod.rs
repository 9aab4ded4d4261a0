//! The reconciler.

mod answers;
mod judge;
mod work;

use std::collections::{BTreeMap, BTreeSet};

use pond_platform::TaskStatus;
use pond_proto::{Millis, Span, TaskKey, Vm, VmKey};
use pond_state::{Change, End, State, VmRecord};

use super::contact::Contact;
use super::steps::{Call, Step, Times};

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

    fn call(&mut self, record: &VmRecord, call: Call) {
        if let Some(task) = call.task() {
            self.calling.insert(task, record.key);
            *self.calls.entry(record.key).or_default() += 1;
        }
        let (vm, worker) = (record.key, record.vm.worker.clone());
        self.steps.push(Step::Call { vm, worker, call });
    }

    /// Whether a task must wait for a call, a proposal or its time.
    fn busy(&self, task: TaskKey, vm: VmKey, now: Millis) -> bool {
        let waits = self.wait.get(&task).is_some_and(|until| now < *until);
        waits
            || self.calls.get(&vm).is_some_and(|calls| *calls >= CALLS_PER_WORKER)
            || self.calling.contains_key(&task)
            || self.proposed.contains(&task)
    }

    /// Forgets tasks and VMs that are no more.
    fn forget(&mut self, state: &State, now: Millis) {
        self.contacts.retain(|vm, _| state.vm(*vm).is_some());
        self.statuses.retain(|vm, _| state.vm(*vm).is_some());
        self.looked.retain(|vm, _| state.vm(*vm).is_some());
        self.calls.retain(|_, calls| *calls > 0);
        if self.seen_running.len() > state.task_count() * 2 + 1000 {
            self.seen_running.retain(|task, _| state.task(*task).is_some());
        }
        self.wait.retain(|_, until| now < *until);
    }
}
