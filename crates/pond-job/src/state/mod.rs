//! The replicated state: the same changes in the same order give the same state everywhere.

mod evacuation;
mod runs;

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::Millis;
use pond_proto::job::{Phase, RunName, Spec, Step, TaskName};
use serde::{Deserialize, Serialize};

use crate::change::{Change, End, Reply};
use crate::configuration::Configuration;
use crate::estimates::Estimates;
use crate::job::{Job, Task, critical_path_ms};
use crate::suspicion::Suspicion;

/// Most tasks of one job; more are refused, so that one job cannot fill the memory: a task takes
/// some hundred bytes, so this many take a few megabytes.
const MAX_TASKS_PER_JOB: usize = 20_000;

/// All that the control replicas agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    configuration: Option<Configuration>,
    jobs: BTreeMap<u64, Job>,
    /// Jobs that have not ended, or of which something still runs.
    active: BTreeSet<u64>,
    /// Runs by the life of the worker that has them.
    placed: BTreeMap<String, BTreeSet<RunName>>,
    /// Ends of each life of a worker up to this number are settled.
    #[serde(rename = "settled")]
    committed: BTreeMap<String, u64>,
    /// The agents beside lives of workers that have runs.
    agents: BTreeMap<String, String>,
    /// What former leaders learned of harm. (Snapshots of earlier versions have none.)
    #[serde(default, rename = "lesson")]
    estimates: Estimates,
    /// The data centres in which nothing is started, and since when. (Snapshots of earlier versions have none.)
    #[serde(default)]
    evacuated: BTreeMap<String, Millis>,
}

impl State {
    /// Nothing yet.
    pub fn new() -> State {
        State::default()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The job of that id.
    pub fn job(&self, id: u64) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The step of a task.
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.job(task.job)?.step(task)
    }

    /// Jobs that have not ended, or of which something still runs.
    pub fn active(&self) -> impl Iterator<Item = (u64, &Job)> + '_ {
        self.active.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)))
    }

    /// All jobs that have ended.
    pub fn ended(&self) -> impl Iterator<Item = u64> + '_ {
        self.jobs.iter().filter(|(_, job)| job.phase.ended()).map(|(id, _)| *id)
    }

    /// The runs that a life of a worker has.
    pub fn placed(&self, worker: &str) -> impl Iterator<Item = RunName> + '_ {
        self.placed.get(worker).into_iter().flatten().copied()
    }

    /// The lives of workers that have runs.
    pub fn workers(&self) -> impl Iterator<Item = &str> + '_ {
        self.placed.keys().map(String::as_str)
    }

    /// The lives of workers beside an agent that have runs.
    pub fn incarnations_at<'a>(&'a self, agent: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let beside = move |(_, other): &(&String, &String)| other.as_str() == agent;
        self.agents.iter().filter(beside).map(|(life, _)| life.as_str())
    }

    /// The agent beside a life of a worker that has runs.
    pub fn agent_of(&self, life: &str) -> Option<&str> {
        self.agents.get(life).map(String::as_str)
    }

    /// Ends of that life of a worker up to this number are settled.
    pub fn last_committed_end(&self, worker: &str) -> u64 {
        self.committed.get(worker).copied().unwrap_or(0)
    }

    /// What is held against the task of a run, if the run is the task's newest and its job goes on.
    pub fn suspicion(&self, run: RunName) -> Option<&Suspicion> {
        self.job(run.task.job).filter(|job| !job.phase.ended())?;
        self.recorded_suspicion(run)
    }

    /// The same, whether its job goes on or has ended.
    pub fn recorded_suspicion(&self, run: RunName) -> Option<&Suspicion> {
        let task = self.job(run.task.job)?.task(run.task);
        task.filter(|task| task.run == run.number)?.suspicion.as_deref()
    }

    /// What of the ends and unstarted runs of a worker is news here; the rest was applied before.
    pub fn uncommitted<'a>(
        &self,
        worker: &str,
        ends: &'a [End],
        unstarted: &'a [RunName],
    ) -> (Vec<&'a End>, Vec<&'a RunName>) {
        let settled = self.last_committed_end(worker);
        let has = |run: &&RunName| self.placed.get(worker).is_some_and(|runs| runs.contains(run));
        let ends = ends.iter().filter(|end| end.number > settled).collect();
        (ends, unstarted.iter().filter(has).collect())
    }

    /// What former leaders learned of harm.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// How many jobs of a queue wait with no task begun, where `begun` tells whether a run has on the life on
    /// which it has its place. Repeated jobs do not count.
    pub fn waiting_jobs(&self, queue: &str, begun: impl Fn(RunName, &str) -> bool) -> u64 {
        let waits = |(id, job): &(u64, &Job)| {
            let counts = job.queue == queue && !job.phase.ended() && job.spec.repeat.is_none();
            counts && !job.begun && !job.placements(*id).any(|(run, worker)| begun(run, worker))
        };
        self.active().filter(waits).count() as u64
    }

    /// As bytes for a snapshot.
    ///
    /// # Errors
    /// What the encoder says; it has no reason to fail on these types.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        rmp_serde::to_vec(self).map_err(|error| error.to_string())
    }

    /// From a snapshot's bytes.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn decode(bytes: &[u8]) -> Result<State, String> {
        rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) -> Reply {
        match change {
            Change::Configure(configuration) => self.configure(configuration),
            Change::Submit { host, path, id, spec, at } => self.submit(&host, &path, id, spec, at),
            Change::Cancel { host, path, id } => self.cancel(&host, &path, id),
            Change::Start(starts) => self.place_runs(starts),
            Change::Ended { worker, ends, unstarted } => self.apply_ends(&worker, ends, &unstarted),
            Change::WorkerLost { worker, checkpoints, ended, blame } => {
                self.record_losses(&worker, &blame);
                self.lose_worker(&worker, checkpoints, ended)
            }
            Change::Cleared(runs) => self.clear_suspicions(&runs),
            Change::Evacuate { data_centre, at } => self.evacuate(data_centre, at),
            Change::Readmit { data_centre } => self.readmit(&data_centre),
            Change::Forget(ids) => self.forget(&ids),
            Change::Learned(estimates) => {
                self.estimates = estimates;
                Reply::Accepted
            }
        }
    }

    fn configure(&mut self, configuration: Configuration) -> Reply {
        let held = self.configuration.as_ref().map(|held| held.version);
        if held.is_none_or(|held| configuration.version > held) {
            self.configuration = Some(configuration);
        }
        Reply::Accepted
    }

    fn submit(&mut self, host: &str, path: &str, id: u64, spec: Spec, at: Millis) -> Reply {
        if self.jobs.contains_key(&id) {
            return Reply::Accepted;
        }
        let Some(configuration) = &self.configuration else { return Reply::NotConfigured };
        let Some(queue) = configuration.queue_for(host, path) else { return Reply::NoQueue };
        let times = spec.repeat.map_or(1, |repeat| repeat.times as usize);
        let new = |tasks: u32| vec![Task::default(); tasks as usize];
        let steps: Vec<Vec<Task>> = spec.steps.iter().map(|step| new(step.tasks)).collect();
        let open = times * steps.iter().map(Vec::len).sum::<usize>();
        let chain = critical_path_ms(&spec.steps, |_, step| step.estimate_ms)
            .saturating_mul(queue.stretch_permille)
            / 1000;
        let span = chain.saturating_add(queue.target_ms);
        let job = Job {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            advice: queue.advice,
            spec,
            submitted_at: at,
            target_at: at + span,
            phase: Phase::Queued,
            times: vec![steps; times],
            unfinished: open,
            placed: 0,
            begun: false,
        };
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
        let Some(job) = self.jobs.get_mut(&id) else { return Reply::NoJob };
        if !job.phase.ended() {
            job.phase = Phase::Cancelled;
        }
        self.update_phase(id);
        Reply::Accepted
    }

    /// Brings a job's phase up to date; the job and its phase if it has ended.
    fn update_phase(&mut self, id: u64) -> Option<(u64, Phase)> {
        let job = self.jobs.get_mut(&id)?;
        if job.unfinished == 0 && !job.phase.ended() {
            job.phase = Phase::Completed;
        }
        if !job.phase.ended() {
            return None;
        }
        if job.placed == 0 && self.active.remove(&id) {
            // Only its phase is asked for from now on.
            job.times = Vec::new();
            job.spec = Spec::default();
        }
        Some((id, job.phase))
    }

    fn forget(&mut self, ids: &[u64]) -> Reply {
        for id in ids {
            let ended = self.jobs.get(id).is_some_and(|job| job.phase.ended());
            if ended && !self.active.contains(id) {
                self.jobs.remove(id);
            }
        }
        Reply::Accepted
    }

    /// Whether a job of that description can be kept.
    pub fn within_limits(spec: &Spec) -> bool {
        let times = spec.repeat.map_or(1, |repeat| repeat.times as usize);
        let tasks: usize = spec.steps.iter().map(|step| step.tasks as usize).sum();
        // Steps and times take memory even without tasks.
        let tasks = tasks.max(spec.steps.len()).max(1);
        let refers_back =
            |(i, step): (usize, &Step)| step.after.iter().all(|before| (*before as usize) < i);
        tasks.saturating_mul(times) <= MAX_TASKS_PER_JOB
            && spec.steps.iter().enumerate().all(refers_back)
    }
}
