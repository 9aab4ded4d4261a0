//! The border to the platform.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use pond_proto::{TaskKey, Vm};

use crate::message::{
    Checkpoint, Lease, LeaseAnswer, Refusal, Start, StartAnswer, Stop, StopAnswer, TaskStatus,
    Throttle, Usage,
};

/// An answer that is still to come.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Why a call to the platform led to nothing.
#[derive(Debug)]
pub enum Error {
    /// The worker refused; nothing happened.
    Refused(Refusal),
    /// Nothing was sent; nothing happened.
    NotSent(String),
    /// It is not known whether it happened.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(refusal) => write!(f, "refused: {}", refusal.message),
            Error::NotSent(what) | Error::Unknown(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}

/// What the platform gives. `worker` is the address that the VM list states.
pub trait Platform: Send + Sync {
    /// The VM list, which lags.
    fn vms(&self) -> Answer<'_, Vec<Vm>>;

    /// Renews leases and asks what the worker has.
    fn lease<'a>(&'a self, worker: &'a str, order: Lease) -> Answer<'a, LeaseAnswer>;

    /// Starts a task; repeated, it answers the same.
    fn start<'a>(&'a self, worker: &'a str, task: TaskKey, order: Start)
    -> Answer<'a, StartAnswer>;

    /// Makes a checkpoint.
    fn checkpoint<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        order: Checkpoint,
    ) -> Answer<'a, TaskStatus>;

    /// Sets how fast a task runs.
    fn throttle<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        order: Throttle,
    ) -> Answer<'a, TaskStatus>;

    /// Stops a task for good; repeated until it answers `stopped`.
    fn stop<'a>(&'a self, worker: &'a str, task: TaskKey, order: Stop) -> Answer<'a, StopAnswer>;

    /// What the worker's tasks used, some time ago.
    fn usage<'a>(&'a self, worker: &'a str) -> Answer<'a, Usage>;
}
