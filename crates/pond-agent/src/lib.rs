//! The agent beside a worker.
//!
//! [`Core`] is pure: it is given registrations, orders, answers and the time, and hands out calls
//! to the worker and reports to control. [`Agent`] is the shell around it. The border to the worker
//! is the trait [`Worker`].

mod agent;
mod core;
mod pacing;
mod run;
mod worker;

pub use agent::{Agent, Registrar};
pub use core::{Core, Mismatch, Observation, Output, Registration};
pub use worker::{Answer, Call, Refusal, Reply, Worker};
