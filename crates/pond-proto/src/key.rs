//! Small `Copy` keys for things kept in tables.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Names one VM inside the replicated state.
///
/// Handed out in order by the state machine and never used again, so that every replica
/// gives the same key to the same VM.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct VmKey(pub u32);

/// Names one run of a unit on one VM.
///
/// A task that is started again elsewhere gets a new key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct TaskKey(pub u64);

/// Names one life of a process, from its start to its end.
///
/// Drawn at random when the process starts. Two lives at one address are told apart by it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a new life from the operating system's randomness.
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
