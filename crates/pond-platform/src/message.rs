//! The messages of the worker and VM list contracts, as they stand in JSON.

use pond_proto::{Size, TaskKey, Vm};
use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs that the platform believes to be there. It may be late.
    pub vms: Vec<Vm>,
}

/// A moment on a worker's clock.
///
/// Leases count from the moment at which their holder sent a message, so that a renewal that
/// comes late grants no more time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Drawn at random when the worker started.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The worker's clock in milliseconds, with any zero.
    pub ms: u64,
}

/// `POST /v1/lease`: renews the lease on all named tasks, and on nothing else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The leader's term. A worker refuses a lower one than it has seen.
    pub term: u64,
    /// Life and stamp of the worker's last answer. The lease counts from there.
    pub stamp: Option<Stamp>,
    /// How long the lease is, in milliseconds from the stamp.
    pub lease_ms: u64,
    /// The tasks to renew.
    pub tasks: Vec<TaskKey>,
}

/// Answer to `POST /v1/lease`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The worker's life and its clock when it sent this answer.
    pub stamp: Stamp,
    /// Every task that the worker knows, ended ones until they were stopped.
    pub tasks: Vec<TaskStatus>,
}

/// One task as its worker knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskKey,
    /// Where it stands.
    pub state: TaskState,
    /// Hundredths of its processors that it may use.
    pub share: u32,
    /// The last checkpoint, if it made one.
    #[serde(default)]
    pub checkpoint: Option<u64>,
    /// The address of the endpoint, for a service that runs.
    #[serde(default)]
    pub endpoint: Option<String>,
}

/// Where a task stands at its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs, slowed or paused as ordered.
    Running,
    /// It is being stopped.
    Stopping,
    /// It does not run any more.
    Ended(Ending),
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It came to its own end.
    Done,
    /// It failed, for this reason.
    Failed(String),
    /// It was stopped as ordered.
    Stopped,
    /// Its lease ran out and the worker stopped it.
    Expired,
}

/// `POST /v1/tasks/{task}/start`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The leader's term.
    pub term: u64,
    /// Life and stamp of the worker's last answer. The lease counts from there.
    pub stamp: Stamp,
    /// How long the lease is, in milliseconds from the stamp.
    pub lease_ms: u64,
    /// The unit's name.
    pub unit: String,
    /// What to run, as it stands in the unit file.
    pub program: String,
    /// What the task may take.
    pub size: Size,
    /// Requests that it runs at a time, for a service; zero for a job.
    pub slots: u32,
    /// Connections that it accepts, for a service.
    pub connections: u32,
    /// The checkpoint to resume from.
    pub resume_from: Option<u64>,
}

/// Answer to `POST /v1/tasks/{task}/start`. A repeated start answers the same and starts nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// The task as it stands.
    pub status: TaskStatus,
}

/// `POST /v1/tasks/{task}/checkpoint`, answered by [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The leader's term.
    pub term: u64,
}

/// `POST /v1/tasks/{task}/throttle`, answered by [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The leader's term.
    pub term: u64,
    /// Hundredths of its processors that it may use: 0 stands still, 100 is full speed.
    pub share: u32,
}

/// `POST /v1/tasks/{task}/stop`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The leader's term.
    pub term: u64,
    /// Time that it may take to end by itself, in milliseconds.
    pub grace_ms: u64,
}

/// Answer to `POST /v1/tasks/{task}/stop`. After `stopped` the worker never runs the task again,
/// even if a start of it comes late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopAnswer {
    /// Whether it surely does not run any more; if not, ask again.
    pub stopped: bool,
    /// The last checkpoint, made while stopping if it can make one.
    pub checkpoint: Option<u64>,
    /// How it ended, if it had ended before.
    pub ending: Option<Ending>,
}

/// Answer to `GET /v1/usage`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// One report for each task.
    pub reports: Vec<Report>,
}

/// What one task used, some time ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The task.
    pub task: TaskKey,
    /// How old the measurement is, in milliseconds.
    pub age_ms: u64,
    /// Thousandths of a processor in use.
    pub milli_cpu: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u32,
    /// The 99th percentile of its latency, in microseconds, for a service.
    #[serde(default)]
    pub p99_us: Option<u64>,
    /// Requests a second, for a service.
    #[serde(default)]
    pub rate: Option<f64>,
    /// Work done since its start, in milliseconds of full speed, for a job.
    #[serde(default)]
    pub progress_ms: Option<u64>,
}

/// The body of a refusal, with status 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Which rule.
    pub code: RefusalCode,
    /// In words.
    pub message: String,
}

/// Why a worker refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The term is lower than one it has seen.
    OldTerm,
    /// The lease would be over already, or the stamp is not from this life.
    StaleStamp,
    /// It has not that much room.
    NoRoom,
    /// It was told to stop this task, or the task has ended.
    Ended,
    /// It knows no such task.
    NoTask,
}
