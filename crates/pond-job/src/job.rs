//! Accepted jobs and their tasks.

use pond_proto::Millis;
use pond_proto::job::{Phase, RunName, Spec, Step, TaskName};
use serde::{Deserialize, Serialize};

use crate::configuration::{Advice, Queue, QueueKey};
use crate::origin::Origin;
use crate::suspicion::Suspicion;

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the queue that the job belongs to.
    pub queue: String,
    /// The pool that runs the job.
    pub pool: String,
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job has failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How the adviser decides which workers may run the job; `None` if all may.
    pub advice: Option<Advice>,
    /// The specification; empty once the job has ended and nothing of it runs.
    pub spec: Spec,
    /// When the job was submitted, on the operators' clock of the leader that accepted it.
    #[serde(rename = "at")]
    pub submitted_at: Millis,
    /// When the job should be done, on the same clock.
    #[serde(rename = "aim")]
    pub target_at: Millis,
    /// The current phase.
    pub phase: Phase,
    /// Tasks by repetition of the job and by step; empty once the job has ended and nothing of it runs.
    #[serde(rename = "times")]
    pub repetitions: Vec<Vec<Vec<Task>>>,
    /// Number of tasks that are not done.
    #[serde(rename = "open")]
    pub unfinished: usize,
    /// Number of runs that are placed on a worker.
    pub placed: usize,
    /// Whether a run of the job that is no longer placed is known to have begun. (Snapshots of earlier versions
    /// lack this field.)
    #[serde(default)]
    pub begun: bool,
    /// Where the job was submitted; `None` once the job has ended and nothing of it runs, or if an earlier version
    /// accepted it and not just one queue has the name of its queue. (Snapshots hold it after the state.)
    #[serde(skip)]
    pub origin: Option<Origin>,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the newest run.
    pub run: u32,
    /// The worker incarnation that has the newest run, until the end of the run is committed.
    pub worker: Option<String>,
    /// Number of failed runs.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// Whether the task is done.
    pub done: bool,
    /// The newest checkpoint; empty if there is none.
    #[serde(rename = "save")]
    pub checkpoint: String,
    /// The workers that were lost while running the task; `None` if there were none since it was last cleared.
    /// (Snapshots of earlier versions lack this field.)
    #[serde(default)]
    pub suspicion: Option<Box<Suspicion>>,
    /// Whether a run that had been given up has turned out to be done while a newer one was placed. The task is done
    /// once that one is no longer placed, so that no run begins after its task is done. (Snapshots of earlier versions
    /// lack this field.)
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub superseded: bool,
}

impl Task {
    /// Returns whether no run of the task is known to be done, so that a placed one has to continue.
    pub fn needs_run(&self) -> bool {
        !self.done && !self.superseded
    }

    /// Returns whether the task still needs a worker.
    pub fn is_pending(&self) -> bool {
        !self.done && self.worker.is_none()
    }

    /// Returns whether the task may have crashed workers.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.suspect)
    }
}

impl Job {
    /// Creates a job that was submitted to a queue.
    pub fn new(origin: Origin, queue: &Queue, spec: Spec, submitted_at: Millis) -> Job {
        let repetitions = spec.repeat.map_or(1, |repeat| repeat.times as usize);
        let new_tasks = |tasks: u32| vec![Task::default(); tasks as usize];
        let steps: Vec<Vec<Task>> = spec.steps.iter().map(|step| new_tasks(step.tasks)).collect();
        let unfinished = repetitions * steps.iter().map(Vec::len).sum::<usize>();
        let mut job = Job {
            queue: String::new(),
            pool: String::new(),
            priority: 0,
            max_attempts: 0,
            advice: None,
            spec,
            submitted_at,
            target_at: submitted_at,
            phase: Phase::Queued,
            repetitions: vec![steps; repetitions],
            unfinished,
            placed: 0,
            begun: false,
            origin: Some(origin),
        };
        job.assign(queue);
        job
    }

    /// Creates a job that was cancelled before it was submitted. It has no tasks.
    pub fn new_cancelled(queue: &Queue, submitted_at: Millis) -> Job {
        let origin = Origin::new(&queue.host, &queue.prefix, queue);
        let job = Job::new(origin, queue, Spec::default(), submitted_at);
        Job { phase: Phase::Cancelled, repetitions: Vec::new(), origin: None, ..job }
    }

    /// Assigns the job to a queue that its host and path belong to, and takes over all that the queue says about its
    /// jobs.
    pub fn assign(&mut self, queue: &Queue) {
        let stretched_ms = critical_path_ms(&self.spec.steps, |_, step| step.estimate_ms)
            .saturating_mul(queue.stretch_permille)
            / 1000;
        self.queue.clone_from(&queue.name);
        self.pool.clone_from(&queue.pool);
        self.priority = queue.priority;
        self.max_attempts = queue.max_attempts.max(1);
        self.advice = queue.advice;
        self.target_at = self.submitted_at + stretched_ms.saturating_add(queue.target_ms);
        if let Some(origin) = &mut self.origin {
            origin.assign(queue);
        }
    }

    /// Returns the key of the queue that the job belongs to. A job of unknown origin has one of its own, by the name of
    /// its queue.
    pub fn queue_key(&self) -> QueueKey<'_> {
        let unknown = QueueKey { host: "", prefix: &self.queue };
        self.origin.as_ref().map_or(unknown, Origin::key)
    }

    /// Returns whether the job runs once and all its tasks reserve processors and end by themselves.
    pub fn is_short(&self) -> bool {
        is_short(&self.spec)
    }

    /// Returns the step of a task.
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.spec.steps.get(task.step as usize)
    }

    /// Returns the task with a name.
    pub fn task(&self, name: TaskName) -> Option<&Task> {
        let steps = self.repetitions.get(name.repetition as usize)?;
        steps.get(name.step as usize)?.get(name.index as usize)
    }

    pub(crate) fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        let steps = self.repetitions.get_mut(name.repetition as usize)?;
        steps.get_mut(name.step as usize)?.get_mut(name.index as usize)
    }

    /// Returns whether a task has used up its attempts. Long-running tasks have no limit.
    pub fn is_exhausted(&self, name: TaskName) -> bool {
        let limited = self.step(name).is_some_and(|step| !step.long_running);
        limited && self.task(name).is_some_and(|task| task.failures >= self.max_attempts)
    }

    /// Returns the placed runs, each with its worker incarnation; `id` is the id of this job.
    pub fn placements(&self, id: u64) -> impl Iterator<Item = (RunName, &str)> {
        let steps = self.repetitions.iter().zip(0..).flat_map(|(steps, repetition)| {
            steps.iter().zip(0..).map(move |(tasks, step)| (repetition, step, tasks))
        });
        steps.flat_map(move |(repetition, step, tasks)| {
            tasks.iter().zip(0..).filter_map(move |(task, index)| {
                let name = TaskName { job: id, repetition, step, index };
                Some((RunName { task: name, number: task.run }, task.worker.as_deref()?))
            })
        })
    }

    /// Returns whether all steps before a step are done, in one repetition of the job.
    pub fn is_step_ready(&self, repetition: usize, step: usize) -> bool {
        let (Some(steps), Some(spec)) =
            (self.repetitions.get(repetition), self.spec.steps.get(step))
        else {
            return false;
        };
        let done = |before: &u32| {
            let tasks = steps.get(*before as usize);
            tasks.is_some_and(|tasks| tasks.iter().all(|task| task.done))
        };
        spec.after.iter().all(done)
    }

    /// Returns when a repetition of the job is due, on the operators' clock.
    pub fn due(&self, repetition: usize) -> Millis {
        match &self.spec.repeat {
            Some(repeat) => {
                let since_first = repeat.every_ms.saturating_mul(repetition as u64);
                Millis(repeat.first_ms.saturating_add(since_first))
            }
            None => self.submitted_at,
        }
    }
}

/// Returns whether a job runs once and all its tasks reserve processors and end by themselves.
pub fn is_short(spec: &Spec) -> bool {
    let short = |step: &Step| !step.long_running && !step.best_effort;
    spec.repeat.is_none() && !spec.steps.is_empty() && spec.steps.iter().all(short)
}

/// Returns the length of the critical path through the steps, in milliseconds, if each takes `takes_ms`.
pub fn critical_path_ms(steps: &[Step], takes_ms: impl Fn(usize, &Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (i, step) in steps.iter().enumerate() {
        let start = step.after.iter().filter_map(|i| ends.get(*i as usize)).max();
        let duration = takes_ms(i, step);
        ends.push(start.copied().unwrap_or(0).saturating_add(duration));
    }
    ends.into_iter().max().unwrap_or(0)
}
