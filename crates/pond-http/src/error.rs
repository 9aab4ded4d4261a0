//! Why a call got no answer.

use snafu::Snafu;

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing of the request was sent: it did not run.
    #[snafu(display("{address}: not sent: {what}"))]
    NotSent {
        /// Whom it was for.
        address: String,
        /// Why.
        what: String,
    },
    /// The request was sent, at least in part, and no whole answer came: it may have run.
    #[snafu(display("{address}: no whole answer: {what}"))]
    Broken {
        /// Whom it was for.
        address: String,
        /// Why.
        what: String,
    },
    /// An answer came that is not what the contract says.
    #[snafu(display("{address}: status {status}: {what}"))]
    Status {
        /// Whom it was for.
        address: String,
        /// The status.
        status: u16,
        /// The answer's body.
        what: String,
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
