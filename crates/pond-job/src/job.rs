//! An accepted job with its tasks.

use pond_proto::Millis;
use pond_proto::job::{Phase, RunName, Spec, Step, TaskName};
use serde::{Deserialize, Serialize};

use crate::configuration::Advice;
use crate::suspicion::Suspicion;

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was handed in to.
    pub queue: String,
    /// The pool that runs it.
    pub pool: String,
    /// The priority of its queue when it was handed in; zero goes first.
    pub priority: u32,
    /// How often a task may fail.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How the adviser decides which workers may run it; none if all may.
    pub advice: Option<Advice>,
    /// What it consists of; empty once it has ended.
    pub spec: Spec,
    /// When it was handed in, on the operators' clock of the leader of that time.
    #[serde(rename = "at")]
    pub submitted_at: Millis,
    /// When it should be done, on the same clock.
    #[serde(rename = "aim")]
    pub target_at: Millis,
    /// What is known of it.
    pub phase: Phase,
    /// The tasks by time and step; empty once it has ended and nothing runs.
    pub times: Vec<Vec<Vec<Task>>>,
    /// Tasks that are not done.
    #[serde(rename = "open")]
    pub unfinished: usize,
    /// Tasks that are placed on a worker.
    pub placed: usize,
    /// A run of it is known to have begun that is over since. (Snapshots of earlier versions do not say.)
    #[serde(default)]
    pub begun: bool,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the newest run.
    pub run: u32,
    /// The life of the worker that has the newest run, until its end is settled.
    pub worker: Option<String>,
    /// How many runs have failed.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// Whether it is done.
    pub done: bool,
    /// The newest save of its progress.
    #[serde(rename = "save")]
    pub checkpoint: String,
    /// The workers that were lost under it; none if none were, or since it was cleared. (Snapshots of
    /// earlier versions have none.)
    #[serde(default)]
    pub suspicion: Option<Box<Suspicion>>,
}

impl Task {
    /// Whether it still needs a worker.
    pub fn is_pending(&self) -> bool {
        !self.done && self.worker.is_none()
    }

    /// Whether it may have taken down workers.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.suspect)
    }
}

impl Job {
    /// The step of a task.
    pub fn step(&self, task: TaskName) -> Option<&Step> {
        self.spec.steps.get(task.step as usize)
    }

    /// The task of that name.
    pub fn task(&self, name: TaskName) -> Option<&Task> {
        let steps = self.times.get(name.time as usize)?;
        steps.get(name.step as usize)?.get(name.index as usize)
    }

    pub(crate) fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        let steps = self.times.get_mut(name.time as usize)?;
        steps.get_mut(name.step as usize)?.get_mut(name.index as usize)
    }

    /// The runs of the job with that id that have a place, each with its life of a worker.
    pub fn placements(&self, id: u64) -> impl Iterator<Item = (RunName, &str)> {
        let steps = self.times.iter().zip(0..).flat_map(|(steps, time)| {
            steps.iter().zip(0..).map(move |(tasks, step)| (time, step, tasks))
        });
        steps.flat_map(move |(time, step, tasks)| {
            tasks.iter().zip(0..).filter_map(move |(task, index)| {
                let name = TaskName { job: id, time, step, index };
                Some((RunName { task: name, number: task.run }, task.worker.as_deref()?))
            })
        })
    }

    /// Whether a step's turn has come at a time of the job: all steps before it are done.
    pub fn is_step_ready(&self, time: usize, step: usize) -> bool {
        let (Some(steps), Some(spec)) = (self.times.get(time), self.spec.steps.get(step)) else {
            return false;
        };
        let done = |before: &u32| {
            let tasks = steps.get(*before as usize);
            tasks.is_some_and(|tasks| tasks.iter().all(|task| task.done))
        };
        spec.after.iter().all(done)
    }

    /// When a time of the job falls due, on the operators' clock.
    pub fn due(&self, time: usize) -> Millis {
        match &self.spec.repeat {
            Some(repeat) => {
                let since_first = repeat.every_ms.saturating_mul(time as u64);
                Millis(repeat.first_ms.saturating_add(since_first))
            }
            None => self.submitted_at,
        }
    }
}

/// The longest chain through steps that take these times, in milliseconds.
pub fn critical_path_ms(steps: &[Step], takes_ms: impl Fn(usize, &Step) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (i, step) in steps.iter().enumerate() {
        let before = step.after.iter().filter_map(|i| ends.get(*i as usize)).max();
        let own = takes_ms(i, step);
        ends.push(before.copied().unwrap_or(0).saturating_add(own));
    }
    ends.into_iter().max().unwrap_or(0)
}
