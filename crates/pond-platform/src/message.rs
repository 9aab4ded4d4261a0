//! JSON messages of the protocols of workers and of the VM list.

use pond_proto::{Size, TaskKey, Vm};
use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs that the platform knows of. The list may be out of date.
    pub vms: Vec<Vm>,
}

/// Time on the clock of a worker.
///
/// A lease starts at the stamp of the worker's last answer, not at the arrival of the renewal. A
/// renewal that is delayed therefore grants no extra time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Random identifier of the incarnation of the worker, drawn at its start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Clock of the worker, in milliseconds since an arbitrary origin.
    pub ms: u64,
}

/// Body of `POST /v1/lease`, which renews the leases of the named tasks only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Term of the leader. A worker refuses a lower term than it has seen.
    pub term: u64,
    /// Stamp of the worker's last answer, from which the lease counts.
    pub stamp: Option<Stamp>,
    /// Duration of the lease from the stamp, in milliseconds.
    pub lease_ms: u64,
    /// Tasks whose leases are renewed.
    pub tasks: Vec<TaskKey>,
}

/// Answer to `POST /v1/lease`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Incarnation and clock of the worker when it sent this answer.
    pub stamp: Stamp,
    /// All tasks that the worker knows. An ended task stays listed until it is stopped.
    pub tasks: Vec<TaskStatus>,
}

/// Status of a task at its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Key of the task.
    pub task: TaskKey,
    /// State of the task.
    pub state: TaskState,
    /// Share of its processors that the task may use, in percent.
    pub share: u32,
    /// Last checkpoint, if there is one.
    #[serde(default)]
    pub checkpoint: Option<u64>,
    /// Address of the endpoint, for a running service.
    #[serde(default)]
    pub endpoint: Option<String>,
}

/// State of a task at its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Running, possibly throttled or paused.
    Running,
    /// Being stopped.
    Stopping,
    /// No longer running.
    Ended(Ending),
}

/// Reason of the end of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Completed.
    Done,
    /// Failed with this reason.
    Failed(String),
    /// Stopped by request.
    Stopped,
    /// Stopped by the worker because its lease expired.
    Expired,
}

/// Body of `POST /v1/tasks/{task}/start`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Term of the leader.
    pub term: u64,
    /// Stamp of the worker's last answer, from which the lease counts.
    pub stamp: Stamp,
    /// Duration of the lease from the stamp, in milliseconds.
    pub lease_ms: u64,
    /// Name of the unit.
    pub unit: String,
    /// Program text from the unit file.
    pub program: String,
    /// Resources of the task.
    pub size: Size,
    /// Maximum number of concurrent requests, for a service; zero for a job.
    pub slots: u32,
    /// Maximum number of connections, for a service.
    pub connections: u32,
    /// Checkpoint to resume from.
    pub resume_from: Option<u64>,
}

/// Answer to `POST /v1/tasks/{task}/start`. A repeated start gets the same answer and starts
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// Status of the task.
    pub status: TaskStatus,
}

/// Body of `POST /v1/tasks/{task}/checkpoint`, which is answered by [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Term of the leader.
    pub term: u64,
}

/// Body of `POST /v1/tasks/{task}/throttle`, which is answered by [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Term of the leader.
    pub term: u64,
    /// Share of its processors that the task may use, in percent: 0 pauses it, 100 is full speed.
    pub share: u32,
}

/// Body of `POST /v1/tasks/{task}/stop`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Term of the leader.
    pub term: u64,
    /// Time for the task to end by itself, in milliseconds.
    pub grace_ms: u64,
}

/// Answer to `POST /v1/tasks/{task}/stop`. After `stopped` the worker never runs the task again,
/// even if a delayed start arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopAnswer {
    /// Whether the task has certainly stopped. If false, the caller repeats the request.
    pub stopped: bool,
    /// Last checkpoint; made during the stop if the task supports it.
    pub checkpoint: Option<u64>,
    /// How the task ended, if it had ended before the stop.
    pub ending: Option<Ending>,
}

/// Answer to `GET /v1/usage`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// One report per task.
    pub reports: Vec<Report>,
}

/// Past resource usage of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Key of the task.
    pub task: TaskKey,
    /// Age of the measurement, in milliseconds.
    pub age_ms: u64,
    /// Processors in use, in thousandths of a processor.
    pub milli_cpu: u32,
    /// Memory in use, in MiB.
    pub memory_mib: u32,
    /// 99th percentile of the latency in microseconds, for a service.
    #[serde(default)]
    pub p99_us: Option<u64>,
    /// Requests per second, for a service.
    #[serde(default)]
    pub rate: Option<f64>,
    /// Work done since the start, in milliseconds at full speed, for a job.
    #[serde(default)]
    pub progress_ms: Option<u64>,
}

/// Body of a refusal, sent with status 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Rule that was violated.
    pub code: RefusalCode,
    /// Explanation for people.
    pub message: String,
}

/// Reason why a worker refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The term is lower than one that the worker has seen.
    OldTerm,
    /// The lease would have expired already, or the stamp is from another incarnation.
    StaleStamp,
    /// The worker has not enough free resources.
    NoRoom,
    /// The task was stopped or has ended.
    Ended,
    /// The worker does not know the task.
    NoTask,
}
