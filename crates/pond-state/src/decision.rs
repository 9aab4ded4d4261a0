//! Decisions with their reasons, as shown by the `explain` command.

use pond_proto::{Millis, TaskKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The action that was decided on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Action {
    /// Run the task on a VM.
    Place,
    /// Set the unit aside, as no VM can run it now.
    SetAside,
    /// Limit the task to this percentage of its processors.
    Slow(u32),
    /// Checkpoint the task and pause it.
    Pause,
    /// Let the task run at full speed again.
    Release,
    /// Move the task to another VM: drain a service or checkpoint a job, then stop it.
    Move,
    /// Stop the task permanently.
    Stop,
    /// Only warn operators.
    Warn,
}

/// One decision with its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Decision {
    /// When it was made, in milliseconds since 1970.
    pub at: Millis,
    /// The action.
    pub action: Action,
    /// The VM concerned, by name.
    pub vm: Option<String>,
    /// The task concerned.
    pub task: Option<TaskKey>,
    /// The reasons, for people.
    pub why: String,
    /// The next best alternative.
    pub next_best: Option<String>,
}

impl Decision {
    /// Creates a decision with its reason.
    pub fn new(at: Millis, action: Action, why: impl Into<String>) -> Decision {
        Decision { at, action, vm: None, task: None, why: why.into(), next_best: None }
    }

    /// Sets the name of the VM.
    pub fn with_vm(mut self, vm: &str) -> Decision {
        self.vm = Some(vm.to_owned());
        self
    }

    /// Sets the next best alternative.
    pub fn with_next_best(mut self, next_best: Option<String>) -> Decision {
        self.next_best = next_best;
        self
    }
}
