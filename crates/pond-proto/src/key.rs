//! Small `Copy` keys for entries of tables.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Identifies a VM in the replicated state.
///
/// Keys are assigned in increasing order by the state machine and never reused, so that every
/// replica assigns the same key to the same VM.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct VmKey(pub u32);

/// Identifies one run of a unit on one VM.
///
/// A task that is started again on another VM gets a new key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct TaskKey(pub u64);

/// Identifies one incarnation of a process, from its start to its end.
///
/// It is drawn at random when the process starts and distinguishes successive processes at the same
/// address.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns a new incarnation, drawn from the operating system's random number generator.
    pub fn random() -> Incarnation {
        Incarnation(rand::random())
    }
}

impl fmt::Display for VmKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "vm-{}", self.0)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task-{}", self.0)
    }
}
