//! The outcome of a request, as it is reported to the caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The guarantee that every response to a caller carries in the `Pondbay-Outcome` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The body is the endpoint's complete answer to this request.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, but its answer is unknown.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Pondbay-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
