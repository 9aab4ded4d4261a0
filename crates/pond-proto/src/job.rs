//! Jobs with several steps, as callers submit them, and the names of their tasks and runs.

use std::fmt;

use prost::Message;
use serde::{Deserialize, Serialize};

use crate::Size;

/// The description of a job. It is immutable once the job is accepted.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Spec {
    /// Free text that is passed to every task.
    #[prost(string, tag = "1")]
    pub text: String,
    /// Steps of the job. A step refers to earlier steps by their index in this list.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
    /// Schedule on which all steps are repeated; none for a job that runs once, immediately.
    #[prost(message, optional, tag = "3")]
    pub repeat: Option<Repeat>,
}

impl Spec {
    /// Returns the memory that the description takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.text.len() + self.steps.iter().map(Step::memory_bytes).sum::<usize>()
    }
}

impl Step {
    fn memory_bytes(&self) -> usize {
        let texts = self.required_label.len() + self.data_rack.len() + self.image.len();
        size_of::<Step>() + size_of_val(self.after.as_slice()) + texts
    }
}

/// A group of identical tasks.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// Processor demand of each task in thousandths of a processor.
    #[prost(uint32, tag = "2")]
    pub milli_cpu: u32,
    /// Memory demand of each task in MiB.
    #[prost(uint32, tag = "3")]
    pub memory_mib: u32,
    /// Number of accelerators that each task needs.
    #[prost(uint32, tag = "4")]
    pub accelerators: u32,
    /// The owner's estimate of a task's duration in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Indices of the steps whose tasks must all complete before this step starts.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints and can resume from them.
    #[prost(bool, tag = "7")]
    #[serde(rename = "saves")]
    pub checkpoints: bool,
    /// Whether all tasks must run at the same time.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether a gang runs faster with all its tasks in one rack.
    #[prost(bool, tag = "9")]
    pub one_rack: bool,
    /// Label that the worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// Rack that stores the input data of the tasks; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    #[prost(uint32, tag = "12")]
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: u32,
    /// Whether a backup copy of a task may run in parallel with the first.
    #[prost(bool, tag = "13")]
    pub backups: bool,
    /// Whether the tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run. Tasks of one image are expected to behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Tail latency target of serving tasks in milliseconds; zero if the tasks are not serving.
    #[prost(uint32, tag = "16")]
    pub tail_target_ms: u32,
    /// Whether the tasks are best-effort: they use only processor time that other tasks leave idle.
    #[prost(bool, tag = "17")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of long-running tasks of the step that planned stops may make unavailable at
    /// the same time.
    #[prost(uint32, tag = "18")]
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the capacity that one task reserves on a worker. A best-effort task reserves no
    /// processors.
    pub fn size(&self) -> Size {
        let milli_cpu = if self.best_effort { 0 } else { self.milli_cpu };
        Size::new(milli_cpu, self.memory_mib, self.accelerators)
    }

    /// Returns whether the tasks are serving: they answer requests of users and have a latency
    /// target.
    pub fn serves(&self) -> bool {
        self.tail_target_ms > 0
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.best_effort { "filling" } else { "asking" };
        let lasting = if self.long_running { "lasting " } else { "" };
        write!(f, "{} {lasting}tasks {kind} {} milli-cpu ", self.tasks, self.milli_cpu)?;
        write!(f, "{} MiB {} ms", self.memory_mib, self.estimate_ms)?;
        if !self.image.is_empty() {
            write!(f, " image {}", self.image)?;
        }
        if self.long_running {
            write!(f, " may miss {}", self.max_unavailable)?;
        }
        if self.max_per_worker > 0 {
            write!(f, " most per worker {}", self.max_per_worker)?;
        }
        Ok(())
    }
}

/// The schedule of a repeated job.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of repetitions.
    #[prost(uint32, tag = "1")]
    pub times: u32,
    /// Start of the first repetition, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub first_ms: u64,
    /// Interval between the starts of repetitions, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub every_ms: u64,
}

/// The identity of a task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message, Serialize, Deserialize)]
pub struct TaskName {
    /// Job id, chosen by the job's owner.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Repetition of a repeated job, counted from zero.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "time")]
    pub repetition: u32,
    /// Index of the step, counted from zero.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Index of the task within the step, counted from zero.
    #[prost(uint32, tag = "4")]
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName { job, repetition, step, index } = self;
        write!(f, "{job:016x}.{repetition}.{step}.{index}")
    }
}

/// The identity of a run: one start of a task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message, Serialize, Deserialize)]
pub struct RunName {
    /// Task that was started.
    #[prost(message, required, tag = "1")]
    pub task: TaskName,
    /// Number of this start of the task, counted from one.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

impl fmt::Display for RunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// Why a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum EndReason {
    /// The run completed its work.
    Done = 0,
    /// The run failed because of an error of its own or of the worker.
    Failed = 1,
    /// The run was stopped by an order.
    Stopped = 2,
    /// The lease of the run expired.
    Lapsed = 3,
    /// Another task of its gang ended.
    Broken = 4,
    /// The other tasks of its gang did not start in time.
    Alone = 5,
    /// The run did not start and will not start.
    Unstarted = 6,
}

/// The phase of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Phase {
    /// Accepted; no task has started.
    Queued = 0,
    /// At least one task has started.
    Running = 1,
    /// All tasks have completed.
    Completed = 2,
    /// A task has failed as many times as its queue allows.
    Failed = 3,
    /// Cancelled by the job's owner.
    Cancelled = 4,
}

impl Phase {
    /// Returns whether the job has ended, so that none of its tasks is started again. Runs of the
    /// job may still be stopping.
    pub fn ended(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }
}
