//! A control replica: the quorum, the replicated state and the scheduler, with the threads for
//! their input and output.
//!
//! One thread owns the quorum, the state and all decisions. The threads for internal links, for
//! operators and for the platform send it inputs through one bounded channel and receive its orders
//! through others.

mod formation;
mod input;
mod operator;
mod platform;
mod process;
mod publish;
mod reconcile;
mod replica;
mod tickets;

pub use formation::{Formation, Replacement};
pub use operator::openapi;
pub use process::Process;
pub use reconcile::{Answer, Call, CallResult, Reconciler, Step, Times};
