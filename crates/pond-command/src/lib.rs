//! The command line: one file per command, all behind the [`Command`] trait.

mod call;
mod client;
mod command;
mod error;
mod interrupt;
mod registry;
mod signature;
mod table;

pub use call::{Call, Exit, Output};
pub use client::Client;
pub use error::Error;
pub use registry::{all, find, run};
pub use signature::{Example, Flag, Signature};

/// A command. Help and documentation are generated from it.
pub trait Command: Sync {
    /// Returns its name.
    fn name(&self) -> &'static str;

    /// Returns its arguments and flags.
    fn signature(&self) -> Signature;

    /// Returns a short description, in full sentences.
    fn description(&self) -> &'static str;

    /// Returns example command lines. They run as tests.
    fn examples(&self) -> Vec<Example>;

    /// Runs the command.
    ///
    /// # Errors
    /// [`Error`], whose message states the cause and usually a remedy.
    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error>;
}
