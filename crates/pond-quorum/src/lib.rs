//! The quorum: a replicated log as a pure state machine.
//!
//! [`Core`] receives the current time and one [`Input`] at a time, and returns [`Output`]s. It does no
//! I/O, reads no clock and draws its random numbers from a seed. Elections have a pre-vote, and a
//! replica that hears from a leader does not vote for another candidate. A leader that does not hear
//! from a majority steps down.

mod core;
mod election;
mod follower;
mod io;
mod leader;
mod log;
mod members;
mod progress;
mod tuning;

pub use crate::core::{Core, Role, Start};
pub use io::{Input, Output, Rejection, SnapshotImage, Ticket};
pub use tuning::Tuning;
