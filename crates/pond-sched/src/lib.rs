//! The scheduler: decides which VM runs each unit, and which work is throttled, moved or preempted.
//!
//! It performs no input or output: [`Scheduler::plan`] takes the replicated state, delayed usage
//! reports and the time, and returns changes to propose. The state validates each change again when
//! it is applied. Estimates exist only in the leader's memory and are learned again after a change
//! of leader.

mod candidate;
mod deadline;
mod fleet;
mod info;
mod interference;
mod kind;
mod miss;
mod neighbours;
mod occupancy;
mod plan;
mod preempt;
mod rank;
mod throttle;
mod usage;

pub use interference::Interference;
pub use plan::{Measured, Scheduler, Tuning};
pub use throttle::Tuning as ThrottleTuning;
