//! Why a process cannot run.

use std::io;

use snafu::Snafu;

/// Why a process cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings are for another role.
    #[snafu(display("the settings are for another role; write 'role: {wanted}'"))]
    Role {
        /// The role that was started.
        wanted: &'static str,
    },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address}: {source}; free it or use another"))]
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// A file that the settings name cannot be read.
    #[snafu(display("{file}: cannot be read: {source}; give the path of a readable file"))]
    File {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("a thread could not be started: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// The durable files cannot be used.
    #[snafu(display("{what}"))]
    Store {
        /// Why, and what to do.
        what: String,
    },
    /// The operators' server did not start.
    #[snafu(display("the operators' server did not start: {what}"))]
    Operator {
        /// Why.
        what: String,
    },
}
