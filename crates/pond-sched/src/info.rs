//! Properties of a task's unit that the scheduler needs, cached for each task.

use std::collections::HashMap;

use pond_proto::TaskKey;
use pond_state::{State, Task};

use crate::kind::{Kind, Kinds};

/// Properties of a task's unit.
#[derive(Clone, Copy, Debug)]
pub struct Info {
    /// The kind of the unit.
    pub kind: Kind,
    /// Whether the unit is a job, which can be throttled, paused and moved.
    pub is_job: bool,
    /// The objective for the 99th percentile latency, in microseconds, if a service has one.
    pub objective_us: Option<f64>,
}

/// A cache of unit properties by task. Finding a unit by name is too slow to repeat for every
/// task each time the VMs are examined.
#[derive(Debug, Default)]
pub struct InfoCache {
    tasks: HashMap<TaskKey, Info>,
}

impl InfoCache {
    /// Returns the properties of a task's unit and caches them.
    pub fn get_or_insert(&mut self, state: &State, kinds: &mut Kinds, task: &Task) -> Option<Info> {
        if let Some(info) = self.tasks.get(&task.key) {
            return Some(*info);
        }
        let unit = &state.unit(&task.unit)?.unit;
        let p99_ms = unit.service().and_then(|service| service.p99_ms);
        let info = Info {
            kind: kinds.key(unit.workload_kind()),
            is_job: unit.job().is_some(),
            objective_us: p99_ms.map(|p99_ms| f64::from(p99_ms) * 1000.0),
        };
        self.tasks.insert(task.key, info);
        Some(info)
    }

    /// Returns the cached properties of a task's unit.
    pub fn get(&self, task: TaskKey) -> Option<Info> {
        self.tasks.get(&task).copied()
    }

    /// Clears the cache, as needed when units may have changed.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Removes tasks that no longer exist, once the cache has grown well beyond the task table.
    pub fn remove_stale(&mut self, state: &State) {
        let tasks = state.task_count();
        if self.tasks.len() > tasks * 2 + 1000 {
            self.tasks.retain(|task, _| state.task(*task).is_some());
        }
    }
}
