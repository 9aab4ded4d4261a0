//! The scheduler: decides which VM runs each unit and what gives way.
//!
//! A pure core: [`Scheduler::plan`] looks at the replicated state and the time and hands out
//! changes to propose. The state checks each of them again when it is applied.

mod candidate;
mod miss;
mod plan;
mod rank;

pub use plan::Scheduler;
