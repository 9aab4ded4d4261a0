//! Evidence about what crashes workers: the tasks that ran on lost workers, and for how long.
//!
//! A loss has one cause, so it counts less against a task the more likely another task caused it, also in hindsight.
//! That is why losses are kept with all their possible causes.

use std::collections::BTreeMap;

use pond_proto::Span;
use pond_proto::job::TaskName;
use serde::{Deserialize, Serialize};

/// Maximum number of losses that are kept; the newest are.
const MAX_LOSSES: usize = 256;

/// A task that ran on a lost worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    /// The task.
    pub task: TaskName,
    /// How long the worker is known to have survived the run of the task, in milliseconds.
    pub survived_ms: Span,
    /// How much longer than usual it may have survived the run unnoticed, on average, in milliseconds.
    pub unobserved_ms: Span,
}

/// The loss of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// Rate at which workers crashed spontaneously at that time, per millisecond.
    pub spontaneous_per_ms: f64,
    /// The tasks that may have caused the loss.
    pub exposures: Vec<Exposure>,
}

impl Loss {
    /// Returns whether the task may have caused the loss.
    pub fn involves(&self, task: TaskName) -> bool {
        self.exposure(task).is_some()
    }

    /// Returns how a task was involved in the loss; `None` if it was not.
    pub fn exposure(&self, task: TaskName) -> Option<&Exposure> {
        self.exposures.iter().find(|exposure| exposure.task == task)
    }
}

/// Losses that involve tasks which may still run, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    losses: Vec<Loss>,
    /// Longest time that a worker has survived a run of a task until the task was cleared, in milliseconds.
    outlived: BTreeMap<TaskName, Span>,
}

impl Evidence {
    /// Returns the losses, oldest first.
    pub fn losses(&self) -> &[Loss] {
        &self.losses
    }

    /// Returns how `other` was involved in the losses that both tasks may have caused.
    pub fn shared_losses(
        &self,
        task: TaskName,
        other: TaskName,
    ) -> impl Iterator<Item = &Exposure> {
        let shared = self.losses.iter().filter(move |loss| loss.involves(task));
        let exposures = shared.flat_map(|loss| &loss.exposures);
        exposures.filter(move |exposure| exposure.task == other)
    }

    /// Adds a loss. Losses whose tasks are all no longer `open` are dropped.
    pub fn record(&mut self, loss: Loss, open: impl Fn(TaskName) -> bool) {
        self.losses.retain(|loss| loss.exposures.iter().any(|exposure| open(exposure.task)));
        self.losses.push(loss);
        let excess = self.losses.len().saturating_sub(MAX_LOSSES);
        self.losses.drain(..excess);
        let losses = &self.losses;
        self.outlived.retain(|task, _| losses.iter().any(|loss| loss.involves(*task)));
    }

    /// Records that a worker has survived a run of a task for `survived_ms` milliseconds.
    pub fn record_survival(&mut self, task: TaskName, survived_ms: Span) {
        if self.losses.iter().any(|loss| loss.involves(task)) {
            let outlived_ms = self.outlived.entry(task).or_default();
            *outlived_ms = survived_ms.max(*outlived_ms);
        }
    }

    /// Returns for how long a worker has survived a run of a task until the task was cleared, in milliseconds.
    pub fn outlived_ms(&self, task: TaskName) -> Span {
        self.outlived.get(&task).copied().unwrap_or(0)
    }

    /// Removes a task from the possible causes of all losses.
    pub fn exclude(&mut self, task: TaskName) {
        self.outlived.remove(&task);
        for loss in &mut self.losses {
            loss.exposures.retain(|exposure| exposure.task != task);
        }
        self.losses.retain(|loss| !loss.exposures.is_empty());
    }
}
