//! The audit trail of changes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Record {
    /// Version of the configuration that the change created or, for a decision, the version that
    /// was in force.
    pub version: u64,
    /// When the leader accepted the change, in milliseconds since 1970.
    pub at: Millis,
    /// Author of the change: an operator, `scheduler` or `platform`.
    pub who: String,
    /// Identity of the change, chosen by its sender.
    pub request: String,
    /// Human-readable description of the change.
    pub what: String,
}
