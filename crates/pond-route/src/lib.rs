//! Routing of requests as pure state machines.
//!
//! [`Router`] runs in an entry: it chooses endpoints, retries what is known not to have run, and
//! decides what a caller is told. [`Admission`] runs in an endpoint process: it is the only way to
//! its endpoints and knows the fate of every offer of its life. Neither does I/O or reads a clock.

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
