//! Brings the workers in line with the replicated state, as a pure core.
//!
//! The reconciler of the leader looks at the state, at what workers answered, and at the time. It
//! hands out calls to workers and changes to propose. It owns the rules about leases: a task is
//! given up only when its worker confirmed the stop or its lease has surely run out.

mod contact;
mod reconciler;
mod steps;

pub use reconciler::Reconciler;
pub use steps::{Answer, Call, Fact, Step, Times};
