//! The replicated state: the same changes in the same order give the same state on every replica.

mod evacuation;
mod queues;
mod runs;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::Millis;
use pond_proto::job::{Phase, RunName, Spec, Step, TaskName};
use serde::{Deserialize, Serialize};

use crate::change::{Change, End, Reply};
use crate::configuration::{Configuration, Queue, QueueKey};
use crate::estimates::Estimates;
use crate::evidence::Evidence;
use crate::job::{Job, Task};
use crate::origin::Origin;
use crate::suspicion::Suspicion;

/// The state that the control replicas agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    configuration: Option<Configuration>,
    jobs: BTreeMap<u64, Job>,
    /// Jobs that have not ended or still have placed runs.
    active: BTreeSet<u64>,
    /// Placed runs by worker incarnation.
    placed: BTreeMap<String, BTreeSet<RunName>>,
    /// Number of the last committed end of each worker incarnation.
    #[serde(rename = "settled")]
    committed: BTreeMap<String, u64>,
    /// Agents of the worker incarnations that have runs.
    agents: BTreeMap<String, String>,
    /// Interference estimates of earlier leaders. (Snapshots of earlier versions lack this field.)
    #[serde(default, rename = "lesson")]
    estimates: Estimates,
    /// Evacuated data centres, each with the start of its evacuation. (Snapshots of earlier versions lack this
    /// field.)
    #[serde(default)]
    evacuated: BTreeMap<String, Millis>,
    /// Losses from which the causes of further losses are judged. (Snapshots of earlier versions lack this field.)
    #[serde(default)]
    evidence: Evidence,
    /// Withdrawn runs by agent: they were given up, and the worker of the agent may still hold a call to start them.
    /// (Snapshots of earlier versions lack this field.)
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    withdrawn: BTreeMap<String, BTreeSet<RunName>>,
    /// Ids that were cancelled while no job had them. (Snapshots hold them after the state.)
    #[serde(skip)]
    cancelled: BTreeSet<u64>,
}

impl State {
    /// Maximum number of tasks, and of steps, of one job, so that no job can fill the memory: a task takes some hundred
    /// bytes, so this many take a few megabytes.
    pub const MAX_TASKS_PER_JOB: usize = 20_000;

    /// Maximum number of ids that are kept as cancelled while no job has them: more than 500 a second with a retention
    /// period of two minutes, in a few megabytes.
    pub const MAX_CANCELLED_IDS: usize = 1 << 16;

    /// Creates an empty state.
    pub fn new() -> State {
        State::default()
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the job with an id.
    pub fn job(&self, id: u64) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the queue that a job belongs to, if it is configured.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        self.configuration.as_ref()?.queue_at(job.queue_key())
    }

    /// Returns whether an id was cancelled while no job had it.
    pub fn is_cancelled(&self, id: u64) -> bool {
        self.cancelled.contains(&id)
    }

    /// Returns the ids that were cancelled while no job had them.
    pub fn cancelled_ids(&self) -> impl ExactSizeIterator<Item = u64> + '_ {
        self.cancelled.iter().copied()
    }

    /// Returns the step of a task.
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.job(task.job)?.step(task)
    }

    /// Returns the jobs that have not ended or still have placed runs.
    pub fn active(&self) -> impl Iterator<Item = (u64, &Job)> + '_ {
        self.active.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)))
    }

    /// Returns the ids of all jobs that have ended.
    pub fn ended(&self) -> impl Iterator<Item = u64> + '_ {
        self.jobs.iter().filter(|(_, job)| job.phase.ended()).map(|(id, _)| *id)
    }

    /// Returns the runs placed on a worker incarnation.
    pub fn placed(&self, worker: &str) -> impl Iterator<Item = RunName> + '_ {
        self.placed.get(worker).into_iter().flatten().copied()
    }

    /// Returns the runs that were given up and that the worker of an agent may still start.
    pub fn withdrawn(&self, agent: &str) -> impl Iterator<Item = RunName> + '_ {
        self.withdrawn.get(agent).into_iter().flatten().copied()
    }

    /// Returns whether the worker of an agent may still start runs that were given up.
    pub fn has_withdrawn(&self, agent: &str) -> bool {
        self.withdrawn.contains_key(agent)
    }

    /// Returns the worker incarnations that have runs.
    pub fn workers(&self) -> impl Iterator<Item = &str> + '_ {
        self.placed.keys().map(String::as_str)
    }

    /// Returns the worker incarnations of an agent that have runs.
    pub fn incarnations_at<'a>(&'a self, agent: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let has_agent = move |(_, other): &(&String, &String)| other.as_str() == agent;
        self.agents.iter().filter(has_agent).map(|(worker, _)| worker.as_str())
    }

    /// Returns the agent of a worker incarnation that has runs.
    pub fn agent_of(&self, worker: &str) -> Option<&str> {
        self.agents.get(worker).map(String::as_str)
    }

    /// Returns the number of the last committed end of a worker incarnation, zero if there is none.
    pub fn last_committed_end(&self, worker: &str) -> u64 {
        self.committed.get(worker).copied().unwrap_or(0)
    }

    /// Returns the suspicion against the task of a run, if the run is the task's newest and its job has not ended.
    pub fn suspicion(&self, run: RunName) -> Option<&Suspicion> {
        self.job(run.task.job).filter(|job| !job.phase.ended())?;
        self.recorded_suspicion(run)
    }

    /// Returns the suspicion against the task of a run, if the run is the task's newest, even if its job has ended.
    pub fn recorded_suspicion(&self, run: RunName) -> Option<&Suspicion> {
        let task = self.job(run.task.job)?.task(run.task);
        task.filter(|task| task.run == run.number)?.suspicion.as_deref()
    }

    /// Returns the losses from which the causes of further losses are judged.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns those ends and unstarted runs of a worker incarnation that have not been applied yet.
    pub fn uncommitted<'a>(
        &self,
        worker: &str,
        ends: &'a [End],
        unstarted: &'a [RunName],
    ) -> (Vec<&'a End>, Vec<&'a RunName>) {
        let committed = self.last_committed_end(worker);
        let placed =
            |run: &&RunName| self.placed.get(worker).is_some_and(|runs| runs.contains(run));
        let ends = ends.iter().filter(|end| end.number > committed).collect();
        (ends, unstarted.iter().filter(placed).collect())
    }

    /// Returns the interference estimates of earlier leaders.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Counts the jobs of a queue of which no task has begun; `begun` returns whether a run has begun on the worker
    /// incarnation that it is placed on. Repeated jobs do not count.
    pub fn waiting_jobs(&self, queue: QueueKey<'_>, begun: impl Fn(RunName, &str) -> bool) -> u64 {
        let waits = |(id, job): &(u64, &Job)| {
            let counts =
                job.queue_key() == queue && !job.phase.ended() && job.spec.repeat.is_none();
            counts && !job.begun && !job.placements(*id).any(|(run, worker)| begun(run, worker))
        };
        self.active().filter(waits).count() as u64
    }

    /// Applies a change and returns its outcome.
    pub fn apply(&mut self, change: Change) -> Reply {
        match change {
            Change::Configure(configuration) => self.configure(configuration),
            Change::Submit { host, path, id, spec, at } => self.submit(&host, &path, id, spec, at),
            Change::Cancel { host, path, id } => self.cancel(&host, &path, id),
            Change::Start(starts) => self.place_runs(starts),
            Change::Ended { worker, ends, unstarted } => self.apply_ends(&worker, ends, &unstarted),
            Change::WorkerLost { worker, checkpoints, ended, blame, evidence } => {
                self.record_losses(&worker, &blame, evidence);
                self.lose_worker(&worker, checkpoints, ended)
            }
            Change::Cleared(runs) => self.clear_suspicions(&runs),
            Change::Evacuate { data_centre, at } => self.evacuate(data_centre, at),
            Change::Readmit { data_centre } => self.readmit(&data_centre),
            Change::Withdrawn { agent, runs } => self.withdraw(agent, runs),
            Change::Resolved { agent, runs } => self.resolve_withdrawn(&agent, &runs),
            Change::Forget(ids) => self.forget(&ids),
            Change::Learned(estimates) => {
                self.estimates = estimates;
                Reply::Accepted
            }
        }
    }

    fn submit(&mut self, host: &str, path: &str, id: u64, spec: Spec, at: Millis) -> Reply {
        if self.jobs.contains_key(&id) {
            return Reply::Accepted;
        }
        let Some(configuration) = &self.configuration else { return Reply::NotConfigured };
        let Some(queue) = configuration.queue_for(host, path) else { return Reply::NoQueue };
        if self.cancelled.remove(&id) {
            self.jobs.insert(id, Job::new_cancelled(queue, at));
            return Reply::Ended(vec![(id, Phase::Cancelled)]);
        }
        let job = Job::new(Origin::new(host, path, queue), queue, spec, at);
        self.jobs.insert(id, job);
        self.active.insert(id);
        self.update_phase(id);
        Reply::Accepted
    }

    fn cancel(&mut self, host: &str, path: &str, id: u64) -> Reply {
        let Some(configuration) = &self.configuration else { return Reply::NotConfigured };
        if configuration.queue_for(host, path).is_none() {
            return Reply::NoQueue;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return self.cancel_unknown(id) };
        if !job.phase.ended() {
            job.phase = Phase::Cancelled;
        }
        self.update_phase(id);
        Reply::Accepted
    }

    /// Records the cancellation of an id that no job has. A job that is on its way from its caller, or in the log after
    /// this change, must not run.
    fn cancel_unknown(&mut self, id: u64) -> Reply {
        if self.cancelled.len() >= State::MAX_CANCELLED_IDS && !self.cancelled.contains(&id) {
            return Reply::TooManyCancelled;
        }
        self.cancelled.insert(id);
        Reply::NoJob
    }

    /// Updates a job's phase; returns the job and its phase if it has ended.
    fn update_phase(&mut self, id: u64) -> Option<(u64, Phase)> {
        let job = self.jobs.get_mut(&id)?;
        if job.unfinished == 0 && !job.phase.ended() {
            job.phase = Phase::Completed;
        }
        if !job.phase.ended() {
            return None;
        }
        if job.placed == 0 && self.active.remove(&id) {
            // From now on only the phase is queried.
            job.repetitions = Vec::new();
            job.spec = Spec::default();
            job.origin = None;
        }
        Some((id, job.phase))
    }

    fn forget(&mut self, ids: &[u64]) -> Reply {
        for id in ids {
            self.cancelled.remove(id);
            let ended = self.jobs.get(id).is_some_and(|job| job.phase.ended());
            if ended && !self.active.contains(id) {
                self.jobs.remove(id);
            }
        }
        Reply::Accepted
    }

    /// Returns the memory that the unfinished jobs take, in bytes.
    pub fn jobs_memory_bytes(&self) -> usize {
        let memory_bytes = |(_, job): (u64, &Job)| {
            let origin_bytes = job.origin.as_ref().map_or(0, Origin::memory_bytes);
            State::memory_bytes(&job.spec) + origin_bytes
        };
        self.active().map(memory_bytes).sum()
    }

    /// Returns the memory that a job with this specification takes until it has ended, in bytes.
    pub fn memory_bytes(spec: &Spec) -> usize {
        let repetitions = spec.repeat.map_or(1, |repeat| repeat.times as usize);
        let tasks: usize = spec.steps.iter().map(|step| step.tasks as usize).sum();
        let tasks = tasks.saturating_mul(repetitions).saturating_mul(size_of::<Task>());
        spec.memory_bytes().saturating_add(tasks)
    }

    /// Returns whether a job's specification is acceptable: steps depend only on earlier steps, and the number of
    /// tasks is limited.
    pub fn is_acceptable(spec: &Spec) -> bool {
        let repetitions = spec.repeat.map_or(1, |repeat| repeat.times as usize);
        let tasks: usize = spec.steps.iter().map(|step| step.tasks as usize).sum();
        // Steps and repetitions take memory even without tasks.
        let tasks = tasks.max(spec.steps.len()).max(1);
        let refers_back =
            |(i, step): (usize, &Step)| step.after.iter().all(|before| (*before as usize) < i);
        tasks.saturating_mul(repetitions) <= State::MAX_TASKS_PER_JOB
            && spec.steps.iter().enumerate().all(refers_back)
    }
}
