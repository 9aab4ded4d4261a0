//! Errors of starting and running a process.

use std::io;

use snafu::Snafu;

/// Reason why a process cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings are for another role.
    #[snafu(display("the settings are for another role; write 'role: {expected}'"))]
    Role {
        /// Role that was started.
        expected: &'static str,
    },
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}; free the address or use another"))]
    Listen {
        /// Address.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// A file named in the settings cannot be read.
    #[snafu(display("{file}: cannot be read: {source}; give the path of a readable file"))]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start a thread or runtime: {source}"))]
    Thread {
        /// Cause.
        source: io::Error,
    },
    /// The durable storage cannot be used.
    #[snafu(display("{reason}"))]
    Store {
        /// Cause and remedy.
        reason: String,
    },
    /// The operators' server did not start.
    #[snafu(display("the operators' server did not start: {reason}"))]
    Operator {
        /// Cause.
        reason: String,
    },
}
