//! The audit trail of changes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Record {
    /// Version of the configuration that the change made, or the one in force for decisions.
    pub version: u64,
    /// When the leader took it in, milliseconds since 1970.
    pub at: Millis,
    /// The operator, or `scheduler` or `platform`.
    pub who: String,
    /// The identity that the sender gave the change.
    pub request: String,
    /// What it changed, for people.
    pub what: String,
}
