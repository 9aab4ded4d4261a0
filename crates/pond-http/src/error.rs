//! Why a call got no answer.

use snafu::Snafu;

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing of the request was sent: it did not run.
    #[snafu(display("{address}: not sent: {reason}"))]
    NotSent {
        /// Whom it was for.
        address: String,
        /// Why.
        reason: String,
    },
    /// The request was sent, at least in part, and no whole answer came: it may have run.
    #[snafu(display("{address}: no whole answer: {reason}"))]
    Broken {
        /// Whom it was for.
        address: String,
        /// Why.
        reason: String,
    },
    /// An answer came that is not what the contract says.
    #[snafu(display("{address}: status {status}: {reason}"))]
    Status {
        /// Whom it was for.
        address: String,
        /// The status.
        status: u16,
        /// The answer's body.
        reason: String,
    },
}

impl Error {
    /// Whether the request surely did not run.
    pub fn not_sent(&self) -> bool {
        matches!(self, Error::NotSent { .. })
    }

    /// The status of an answer that was not as the contract says.
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}
