//! The inputs and outputs of the reconciler.

use pond_platform::{Error, LeaseAnswer, StartAnswer, StopAnswer, TaskStatus, Usage};
use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::Change;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Renew leases and request the status of all tasks.
    Lease(pond_platform::Lease),
    /// Start a task.
    Start(TaskKey, pond_platform::Start),
    /// Make a checkpoint.
    Checkpoint(TaskKey, pond_platform::Checkpoint),
    /// Set the share of processors that a task may use.
    Throttle(TaskKey, pond_platform::Throttle),
    /// Stop a task permanently.
    Stop(TaskKey, pond_platform::Stop),
    /// Request a usage report.
    Usage,
}

impl Call {
    /// Returns the task that the call concerns.
    pub fn task(&self) -> Option<TaskKey> {
        match self {
            Call::Start(task, _)
            | Call::Checkpoint(task, _)
            | Call::Throttle(task, _)
            | Call::Stop(task, _) => Some(*task),
            Call::Lease(_) | Call::Usage => None,
        }
    }
}

/// A worker's answer.
#[derive(Debug)]
pub enum Answer {
    /// To [`Call::Lease`].
    Lease(LeaseAnswer),
    /// To [`Call::Start`].
    Start(StartAnswer),
    /// To [`Call::Checkpoint`] and [`Call::Throttle`].
    Status(TaskStatus),
    /// To [`Call::Stop`].
    Stop(StopAnswer),
    /// To [`Call::Usage`].
    Usage(Usage),
}

/// The result of a call to a worker.
#[derive(Debug)]
pub struct CallResult {
    /// The VM.
    pub vm: VmKey,
    /// The call.
    pub call: Call,
    /// When it was issued, on the reconciler's clock.
    pub sent: Millis,
    /// The answer or the error.
    pub result: Result<Answer, Error>,
}

/// A step that the reconciler's caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call a worker and pass the [`CallResult`] back to the reconciler.
    Call {
        /// The VM.
        vm: VmKey,
        /// The worker's address.
        worker: String,
        /// The call.
        call: Call,
    },
    /// Propose a change.
    Propose(Change),
}

/// Durations that the reconciler uses, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The duration of a lease.
    pub lease_ms: Span,
    /// The time after a renewal at which the lease has certainly expired.
    pub lease_expiry_ms: Span,
    /// The interval at which leases are renewed.
    pub renew_ms: Span,
    /// The maximum time for draining an endpoint.
    pub drain_ms: Span,
    /// The time that a task gets to stop.
    pub grace_ms: Span,
    /// The time for which a VM may be missing from the list before its work is moved.
    pub missing_ms: Span,
}
