//! Reconciles the workers with the replicated state, without input or output.
//!
//! The leader's reconciler takes the state, the workers' answers and the time, and returns calls to
//! workers and changes to propose. It enforces the rules about leases: a task is given up only when
//! its worker has confirmed the stop or its lease has certainly expired.

mod contact;
mod reconciler;
mod steps;

pub use reconciler::Reconciler;
pub use steps::{Answer, Call, CallResult, Step, Times};
