//! Callers' requests about jobs, handed to the leading control replica.
//!
//! [`Dispatcher`] is pure. It tells apart requests that surely did not run, because they were never sent
//! or the replica refused them before proposing anything, from those whose fate is unknown.

mod dispatcher;
mod intake;

pub use dispatcher::{Answer, Dispatcher, Output};
pub use intake::{Handle, Intake};
