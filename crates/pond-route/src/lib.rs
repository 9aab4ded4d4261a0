//! Request routing as pure state machines.
//!
//! [`Router`] runs in an entry: it chooses endpoints, retries requests that are known not to have
//! run, and decides the result that a caller gets. [`Admission`] runs in an endpoint process: all
//! requests to its endpoints pass through it, and it knows the fate of every offer since the process
//! started. Neither does I/O or reads a clock.

mod admission;
mod budget;
mod endpoint;
mod health;
mod latency;
mod limit;
mod policy;
mod request;
mod router;
mod service;

pub use admission::{Admission, AdmissionOutput, Run};
pub use endpoint::{EndpointKey, ProcessKey};
pub use policy::{Policy, PolicyKind};
pub use request::{Finish, NotRun, Request};
pub use router::{Output, Router, Tuning};
