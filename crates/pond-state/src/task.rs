//! Tasks: runs of units on VMs.

use pond_proto::{Millis, Size, TaskKey, UnitName, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where a task stands. Only ended tasks leave the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Phase {
    /// The worker was or will be told to start it.
    Starting,
    /// It runs.
    Running,
    /// It runs with this many hundredths of its processors.
    Slowed(u32),
    /// It stands still after a checkpoint.
    Paused,
    /// It finishes its requests before it is stopped.
    Draining,
    /// The worker was or will be told to stop it.
    Stopping,
}

impl Phase {
    /// Whether it is on its way out.
    pub fn ending(self) -> bool {
        matches!(self, Phase::Draining | Phase::Stopping)
    }
}

/// One task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Its key.
    pub key: TaskKey,
    /// Its unit.
    pub unit: UnitName,
    /// Which of the unit's replicas.
    pub replica: u32,
    /// Counts the runs of this replica.
    pub attempt: u32,
    /// Where.
    pub vm: VmKey,
    /// What it takes there.
    pub size: Size,
    /// Where it stands.
    pub phase: Phase,
    /// Since when.
    pub since: Millis,
    /// When the worker started it.
    pub started: Option<Millis>,
    /// The checkpoint that it resumes from.
    pub resume_from: Option<u64>,
    /// The last checkpoint known.
    pub checkpoint: Option<u64>,
    /// The endpoint's address, for a service that runs.
    pub endpoint: Option<String>,
}
