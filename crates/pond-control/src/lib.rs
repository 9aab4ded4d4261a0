//! A control replica: the quorum, the replicated state and the scheduler, with thin shells.
//!
//! One thread owns the quorum, the state and all decisions. Threads for the internal links, for
//! operators and for the platform feed it through one bounded ring and take its orders through
//! others.

mod formation;
mod operator;
mod platform;
mod process;
mod publish;
mod reconcile;
mod replica;
mod ring;
mod tickets;

pub use operator::openapi;
pub use process::Process;
pub use reconcile::{Answer, Call, Fact, Reconciler, Step, Times};
