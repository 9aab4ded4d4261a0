//! The interface to the platform.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use pond_proto::{TaskKey, Vm};

use crate::message::{
    Checkpoint, Lease, LeaseAnswer, Refusal, Start, StartAnswer, Stop, StopAnswer, TaskStatus,
    Throttle, Usage,
};

/// Boxed future of the result of a call.
pub type Response<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Reason why a call to the platform failed.
#[derive(Debug)]
pub enum Error {
    /// The worker refused the request and did not execute it.
    Refused(Refusal),
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, but it is unknown whether it was executed.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(refusal) => write!(f, "refused: {}", refusal.message),
            Error::NotSent(reason) | Error::Unknown(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

/// The platform: its VM list and its workers.
///
/// `worker` is the address of a worker as stated in the VM list.
pub trait Platform: Send + Sync {
    /// Returns the VM list, which may be out of date.
    fn vms(&self) -> Response<'_, Vec<Vm>>;

    /// Renews leases and returns the tasks that the worker has.
    fn lease<'a>(&'a self, worker: &'a str, request: Lease) -> Response<'a, LeaseAnswer>;

    /// Starts a task. Idempotent: a repeated call returns the status of the task.
    fn start<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Start,
    ) -> Response<'a, StartAnswer>;

    /// Makes a checkpoint of a task and returns its status.
    fn checkpoint<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Checkpoint,
    ) -> Response<'a, TaskStatus>;

    /// Sets the processor share of a task and returns its status.
    fn throttle<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Throttle,
    ) -> Response<'a, TaskStatus>;

    /// Stops a task permanently. Callers repeat the call until the answer says `stopped`.
    fn stop<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Stop,
    ) -> Response<'a, StopAnswer>;

    /// Returns usage reports of the tasks of the worker, which lag behind.
    fn usage<'a>(&'a self, worker: &'a str) -> Response<'a, Usage>;
}
