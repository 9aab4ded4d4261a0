//! What the reconciler is given and hands out.

use pond_platform::{Error, LeaseAnswer, StartAnswer, StopAnswer, TaskStatus, Usage};
use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::Change;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Renew leases and ask what there is.
    Lease(pond_platform::Lease),
    /// Start a task.
    Start(TaskKey, pond_platform::Start),
    /// Make a checkpoint.
    Checkpoint(TaskKey, pond_platform::Checkpoint),
    /// Set how fast a task runs.
    Throttle(TaskKey, pond_platform::Throttle),
    /// Stop a task for good.
    Stop(TaskKey, pond_platform::Stop),
    /// Ask for usage.
    Usage,
}

impl Call {
    /// The task that it is about.
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

/// What a worker answered.
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

/// How a call to a worker ended.
#[derive(Debug)]
pub struct Fact {
    /// The VM.
    pub vm: VmKey,
    /// The call.
    pub call: Call,
    /// When it was handed out, on the clock of the reconciler.
    pub sent: Millis,
    /// What came of it.
    pub result: Result<Answer, Error>,
}

/// Something the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call a worker and bring the [`Fact`] back.
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

/// Times of the reconciler, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long a lease is.
    pub lease_ms: Span,
    /// How long after a renewal the lease has surely run out.
    pub surely_over_ms: Span,
    /// How often leases are renewed.
    pub renew_ms: Span,
    /// How long a draining endpoint may take at most.
    pub drain_ms: Span,
    /// How long a task may take to stop.
    pub grace_ms: Span,
    /// How long a VM may be missing from the list before its work is moved.
    pub missing_ms: Span,
}
