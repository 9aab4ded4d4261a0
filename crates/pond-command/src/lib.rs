//! The command line: one command a file, all behind the [`Command`] trait.

mod call;
mod client;
mod command;
mod error;
mod interrupt;
mod registry;
mod signature;
mod table;

pub use call::{Call, Exit, Out};
pub use client::Client;
pub use error::Error;
pub use registry::{all, find, run};
pub use signature::{Example, Flag, Signature};

/// One command of the command line. Help and docs are made from it.
pub trait Command: Sync {
    /// Its name.
    fn name(&self) -> &'static str;

    /// Its arguments and flags.
    fn signature(&self) -> Signature;

    /// What it does, in a sentence or two.
    fn description(&self) -> &'static str;

    /// Lines that work; they run as tests.
    fn examples(&self) -> Vec<Example>;

    /// Runs it.
    ///
    /// # Errors
    /// What is wrong and what to do.
    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error>;
}
