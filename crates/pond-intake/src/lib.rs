//! Sends callers' requests about jobs to the leading control replica.
//!
//! [`Dispatcher`] is a pure state machine. It distinguishes requests that certainly did not run,
//! because they were never sent or change nothing, from those whose result is unknown.

mod dispatcher;
mod intake;
mod outages;

pub use dispatcher::{Answer, Dispatcher, Output};
pub use intake::{Handle, Intake};
