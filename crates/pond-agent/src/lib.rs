//! Agent of a worker.
//!
//! [`Core`] makes all decisions without I/O: it takes registrations, orders, answers and the
//! current time, and returns calls to the worker and reports to control. [`Agent`] is the runtime
//! around it. The trait [`Worker`] is the interface to the worker.

mod agent;
mod core;
mod pacing;
mod run;
mod worker;

pub use agent::{Agent, Registrar};
pub use core::{Core, Evidence, Mismatch, Observation, Output, Registration};
pub use worker::{Answer, Call, Refusal, Reply, Worker};
