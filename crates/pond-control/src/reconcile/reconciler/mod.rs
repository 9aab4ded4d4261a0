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

/// Interval at which an idle VM is examined, in milliseconds.
const CHECK_INTERVAL_MS: Span = 500;

/// Maximum number of concurrent calls for tasks to one worker.
const MAX_CALLS_PER_WORKER: usize = 16;

/// The reconciler of one term of leadership.
#[derive(Debug)]
pub struct Reconciler {
    times: Times,
    term: u64,
    started_at: Millis,
    contacts: BTreeMap<VmKey, Contact>,
    /// The tasks with a pending call, and their VMs.
    pending_calls: BTreeMap<TaskKey, VmKey>,
    /// The time until which calls for a task are delayed.
    delayed_until: BTreeMap<TaskKey, Millis>,
    /// The tasks and VMs with a pending proposal.
    pending_proposals: BTreeSet<TaskKey>,
    pending_judgements: BTreeSet<VmKey>,
    /// The last reported status of each worker's tasks, and when it was requested.
    statuses: BTreeMap<VmKey, (Millis, BTreeMap<TaskKey, TaskStatus>)>,
    /// When this reconciler first saw each task as running.
    seen_running: BTreeMap<TaskKey, Millis>,
    /// When each VM was last examined; a VM without an entry is examined at the next tick.
    last_checked: BTreeMap<VmKey, Millis>,
    /// The number of pending calls for tasks, by VM.
    call_counts: BTreeMap<VmKey, usize>,
    listed: Option<BTreeSet<String>>,
    steps: Vec<Step>,
}

impl Reconciler {
    /// Creates the reconciler of a leader that has just become ready.
    pub fn new(times: Times, term: u64, now: Millis) -> Reconciler {
        Reconciler {
            times,
            term,
            started_at: now,
            contacts: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            delayed_until: BTreeMap::new(),
            pending_proposals: BTreeSet::new(),
            pending_judgements: BTreeSet::new(),
            statuses: BTreeMap::new(),
            seen_running: BTreeMap::new(),
            last_checked: BTreeMap::new(),
            call_counts: BTreeMap::new(),
            listed: None,
            steps: Vec::new(),
        }
    }

    /// Takes the steps that the caller must carry out, in order.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    fn contact(&mut self, vm: VmKey) -> &mut Contact {
        // Earlier leaders stopped granting leases before this one started.
        let (started_at, span) = (self.started_at, self.times.lease_expiry_ms);
        self.contacts.entry(vm).or_insert_with(|| Contact::new(started_at, span))
    }

    /// Processes a new VM list from the platform.
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
            contact.missing_since = match (missing, contact.missing_since) {
                (false, _) => None,
                (true, since) => since.or(Some(now)),
            };
        }
    }

    /// Records that a proposal of this reconciler was applied or lost.
    pub fn proposal_ended(&mut self, change: &Change) {
        match change {
            Change::Started { task, .. }
            | Change::Ended { task, .. }
            | Change::Steer { task, .. }
            | Change::Checkpointed { task, .. } => {
                self.pending_proposals.remove(task);
            }
            Change::Judged { vm, .. } => {
                self.pending_judgements.remove(vm);
            }
            _ => {}
        }
    }

    /// Schedules the examination of the VM that a change, which is about to be applied, concerns.
    pub fn before_apply(&mut self, state: &State, change: &Change) {
        let task = match change {
            Change::Place { vm, .. } | Change::Judged { vm, .. } => {
                self.last_checked.remove(vm);
                return;
            }
            Change::Order { .. } | Change::Listed { .. } => return self.last_checked.clear(),
            Change::Steer { task, .. }
            | Change::Started { task, .. }
            | Change::Ended { task, .. }
            | Change::Checkpointed { task, .. } => *task,
            _ => return,
        };
        if let Some(task) = state.task(task) {
            self.last_checked.remove(&task.vm);
        }
    }

    fn end(&mut self, state: &State, wall: Millis, task: TaskKey, end: End) {
        if state.task(task).is_some() {
            self.propose(task, Change::Ended { at: wall, task, end });
        }
    }

    fn propose(&mut self, task: TaskKey, change: Change) {
        if self.pending_proposals.insert(task) {
            self.steps.push(Step::Propose(change));
        }
    }

    /// Advances the time and adds the steps that are due.
    ///
    /// `is_drained` returns whether a leaving endpoint has no requests left in the given process,
    /// or `None` if that process is not linked. `granting` is false when this replica may no longer
    /// be the only leader: then it renews no lease and starts no task.
    pub fn tick(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        granting: bool,
        is_drained: &dyn Fn(&str, u64) -> Option<bool>,
    ) {
        for record in state.vms() {
            if self
                .last_checked
                .get(&record.key)
                .is_some_and(|at| now.since(*at) < CHECK_INTERVAL_MS)
            {
                continue;
            }
            self.last_checked.insert(record.key, now);
            self.judge(record, now, wall);
            self.end_expired_tasks(state, record, now, wall);
            if granting {
                self.renew(state, record, now);
                self.drive_tasks(state, record, now, wall, is_drained);
            }
        }
        self.remove_stale(state, now);
    }

    fn call(&mut self, record: &VmRecord, call: Call) {
        if let Some(task) = call.task() {
            self.pending_calls.insert(task, record.key);
            *self.call_counts.entry(record.key).or_default() += 1;
        }
        let (vm, worker) = (record.key, record.vm.worker.clone());
        self.steps.push(Step::Call { vm, worker, call });
    }

    /// Returns whether a task must wait for a call, a proposal or a delay.
    fn is_busy(&self, task: TaskKey, vm: VmKey, now: Millis) -> bool {
        let delayed = self.delayed_until.get(&task).is_some_and(|until| now < *until);
        delayed
            || self.call_counts.get(&vm).is_some_and(|count| *count >= MAX_CALLS_PER_WORKER)
            || self.pending_calls.contains_key(&task)
            || self.pending_proposals.contains(&task)
    }

    /// Removes tasks and VMs that no longer exist.
    fn remove_stale(&mut self, state: &State, now: Millis) {
        self.contacts.retain(|vm, _| state.vm(*vm).is_some());
        self.statuses.retain(|vm, _| state.vm(*vm).is_some());
        self.last_checked.retain(|vm, _| state.vm(*vm).is_some());
        self.call_counts.retain(|_, count| *count > 0);
        if self.seen_running.len() > state.task_count() * 2 + 1000 {
            self.seen_running.retain(|task, _| state.task(*task).is_some());
        }
        self.delayed_until.retain(|_, until| now < *until);
    }
}
