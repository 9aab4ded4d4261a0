//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The promise that every answer to a caller carries in `Pondbay-Outcome`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The body is the endpoint's whole answer to this request.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; its answer is not known.
    Unknown,
}

impl Outcome {
    /// The header value.
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
