//! Tasks, which are the runs of units on VMs.

use pond_proto::{Millis, Size, TaskKey, UnitName, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The phase of a task. Tasks that have ended are removed from the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Phase {
    /// It was placed; the worker has not confirmed its start.
    Starting,
    /// It runs.
    Running,
    /// It runs with this percentage of its processors.
    Slowed(u32),
    /// It is paused after a checkpoint.
    Paused,
    /// It is finishing its requests before it is stopped.
    Draining,
    /// It is to be stopped; the worker has not confirmed the stop.
    Stopping,
}

impl Phase {
    /// Returns whether the task is being drained or stopped.
    pub fn ending(self) -> bool {
        matches!(self, Phase::Draining | Phase::Stopping)
    }
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Its key.
    pub key: TaskKey,
    /// Its unit.
    pub unit: UnitName,
    /// The index of the unit's replica.
    pub replica: u32,
    /// The number of this run of the replica, from 1.
    pub attempt: u32,
    /// The VM it runs on.
    pub vm: VmKey,
    /// The resources it takes there.
    pub size: Size,
    /// Its phase.
    pub phase: Phase,
    /// When the phase began.
    pub since: Millis,
    /// When the worker started it.
    pub started: Option<Millis>,
    /// The checkpoint that it resumes from.
    pub resume_from: Option<u64>,
    /// The last known checkpoint.
    pub checkpoint: Option<u64>,
    /// The endpoint's address, for a running service.
    pub endpoint: Option<String>,
}
