//! Errors of HTTP calls.

use snafu::Snafu;

/// Why a call got no valid answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing of the request was sent, so it did not run.
    #[snafu(display("{address}: not sent: {reason}"))]
    NotSent {
        /// Address of the server.
        address: String,
        /// The cause.
        reason: String,
        /// Whether the address refused the connection: nothing accepts any there. Other causes may lie
        /// on this side, such as a lack of file descriptors.
        refused: bool,
    },
    /// The request was sent, at least in part, without a complete answer, so it may have run.
    #[snafu(display("{address}: no complete answer: {reason}"))]
    Broken {
        /// Address of the server.
        address: String,
        /// The cause.
        reason: String,
    },
    /// The answer has a status or body that the contract does not allow.
    #[snafu(display("{address}: status {status}: {reason}"))]
    Status {
        /// Address of the server.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The body of the answer, or why it could not be parsed.
        reason: String,
    },
}

impl Error {
    /// Returns whether the request certainly did not run.
    pub fn not_sent(&self) -> bool {
        matches!(self, Error::NotSent { .. })
    }

    /// Returns the status of an answer that the contract does not allow.
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}
