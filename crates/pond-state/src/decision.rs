//! Decisions with their reasons, as `explain` shows them.

use pond_proto::{Millis, TaskKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Action {
    /// Run it on a VM.
    Place,
    /// It can run nowhere now.
    SetAside,
    /// Give it this many hundredths of its processors.
    Slow(u32),
    /// Checkpoint it and let it stand still.
    Pause,
    /// Let it run at full speed again.
    Release,
    /// Move it elsewhere: drain a service, checkpoint a job, then stop it.
    Move,
    /// Stop it for good.
    Stop,
    /// Only say something to operators.
    Warn,
}

/// One decision with its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Decision {
    /// When, milliseconds since 1970.
    pub at: Millis,
    /// What.
    pub action: Action,
    /// The VM concerned, by name.
    pub vm: Option<String>,
    /// The task concerned.
    pub task: Option<TaskKey>,
    /// What was known and weighed.
    pub why: String,
    /// The alternative that came next.
    pub next_best: Option<String>,
}

impl Decision {
    /// A decision with its reason.
    pub fn new(at: Millis, action: Action, why: impl Into<String>) -> Decision {
        Decision { at, action, vm: None, task: None, why: why.into(), next_best: None }
    }

    /// Names the VM.
    pub fn with_vm(mut self, vm: &str) -> Decision {
        self.vm = Some(vm.to_owned());
        self
    }

    /// Names the alternative that came next.
    pub fn with_next_best(mut self, next_best: Option<String>) -> Decision {
        self.next_best = next_best;
        self
    }
}
