//! Jobs of several steps, as callers hand them in and as they are named between processes.

use std::fmt;

use prost::Message;
use serde::{Deserialize, Serialize};

use crate::Size;

/// What a job consists of. It never changes once the job is accepted.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Spec {
    /// Free text that every task is started with.
    #[prost(string, tag = "1")]
    pub text: String,
    /// The steps; a step refers to earlier ones by their place in this list.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
    /// Runs all steps several times at set times of day; none for a job that runs once, at once.
    #[prost(message, optional, tag = "3")]
    pub repeat: Option<Repeat>,
}

/// A group of equal tasks.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
pub struct Step {
    /// EndReason many tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// Thousandths of a processor for each task.
    #[prost(uint32, tag = "2")]
    pub milli_cpu: u32,
    /// Memory for each task, in MiB.
    #[prost(uint32, tag = "3")]
    pub memory_mib: u32,
    /// Accelerators for each task.
    #[prost(uint32, tag = "4")]
    pub accelerators: u32,
    /// The owner's guess of the time of a task, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// The steps whose tasks must all be done before this one starts.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress and can go on from it.
    #[prost(bool, tag = "7")]
    #[serde(rename = "saves")]
    pub checkpoints: bool,
    /// Whether all tasks must run at the same time.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether a gang is faster with all its tasks in one rack.
    #[prost(bool, tag = "9")]
    pub one_rack: bool,
    /// A label that the worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub required_label: String,
    /// The rack with the data that the tasks read; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Most tasks of the step on one worker; zero for no limit.
    #[prost(uint32, tag = "12")]
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: u32,
    /// Whether a second copy of a task may run beside the first.
    #[prost(bool, tag = "13")]
    pub backups: bool,
    /// Whether the tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Names the program that the tasks run; tasks of one image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// The tail of the answer times that serving tasks should keep, in milliseconds; zero for none.
    #[prost(uint32, tag = "16")]
    pub tail_target_ms: u32,
    /// Whether the tasks only use processors that others leave unused.
    #[prost(bool, tag = "17")]
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// EndReason many lasting tasks of the step may be away at once through planned stops.
    #[prost(uint32, tag = "18")]
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// What one task takes of a worker's room. A filling task takes no processors of it.
    pub fn size(&self) -> Size {
        let milli_cpu = if self.best_effort { 0 } else { self.milli_cpu };
        Size::new(milli_cpu, self.memory_mib, self.accelerators)
    }

    /// Whether the tasks serve users of their own and have a target for it.
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

/// When a repeated job runs.
#[derive(Clone, Copy, PartialEq, Message, Serialize, Deserialize)]
pub struct Repeat {
    /// EndReason many times.
    #[prost(uint32, tag = "1")]
    pub times: u32,
    /// The first time, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub first_ms: u64,
    /// From one time to the next, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub every_ms: u64,
}

/// Names a task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message, Serialize, Deserialize)]
pub struct TaskName {
    /// The job's id, chosen by its owner.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Which time of a repeated job, from zero.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "time")]
    pub repetition: u32,
    /// Which step, from zero.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Which task of the step, from zero.
    #[prost(uint32, tag = "4")]
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName { job, repetition: time, step, index } = self;
        write!(f, "{job:016x}.{time}.{step}.{index}")
    }
}

/// Names one start of a task.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message, Serialize, Deserialize)]
pub struct RunName {
    /// The task.
    #[prost(message, required, tag = "1")]
    pub task: TaskName,
    /// Counts the starts of the task, from one.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

impl fmt::Display for RunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// EndReason a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum EndReason {
    /// It did all its work.
    Done = 0,
    /// It failed, through its own fault or the worker's.
    Failed = 1,
    /// It was stopped by an order.
    Stopped = 2,
    /// Its lease ran out.
    Lapsed = 3,
    /// Another task of its gang ended.
    Broken = 4,
    /// The other tasks of its gang did not start in time.
    Alone = 5,
    /// It never started, and never will.
    Unstarted = 6,
}

/// What is known of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration, Serialize, Deserialize,
)]
#[repr(i32)]
pub enum Phase {
    /// Accepted; no task has begun.
    Queued = 0,
    /// At least one task has begun.
    Running = 1,
    /// All tasks are done.
    Completed = 2,
    /// A task has failed as often as its queue allows.
    Failed = 3,
    /// Cancelled by its owner.
    Cancelled = 4,
}

impl Phase {
    /// Whether nothing more of the job is started. Runs of it may still be stopping.
    pub fn ended(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }
}
