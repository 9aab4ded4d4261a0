//! What the scheduler needs of a task's unit, looked up once for each task.

use std::collections::HashMap;

use pond_proto::TaskKey;
use pond_state::{State, Task};

use crate::kind::{Kind, Kinds};

/// What the scheduler needs of a task's unit.
#[derive(Clone, Copy, Debug)]
pub struct Info {
    /// Its kind.
    pub kind: Kind,
    /// It is a job, which can be steered.
    pub job: bool,
    /// The objective for its 99th percentile, in microseconds, for a service that has one.
    pub objective_us: Option<f64>,
}

/// The tasks that were looked up. Units are found by name, which is too slow to do for every task
/// at every look.
#[derive(Debug, Default)]
pub struct Infos {
    tasks: HashMap<TaskKey, Info>,
}

impl Infos {
    /// Looks a task up, unless that was done before.
    pub fn look_up(&mut self, state: &State, kinds: &mut Kinds, task: &Task) -> Option<Info> {
        if let Some(info) = self.tasks.get(&task.key) {
            return Some(*info);
        }
        let unit = &state.unit(&task.unit)?.unit;
        let p99_ms = unit.service().and_then(|service| service.p99_ms);
        let info = Info {
            kind: kinds.key(unit.kind_name()),
            job: unit.job().is_some(),
            objective_us: p99_ms.map(|p99_ms| f64::from(p99_ms) * 1000.0),
        };
        self.tasks.insert(task.key, info);
        Some(info)
    }

    /// A task that was looked up.
    pub fn get(&self, task: TaskKey) -> Option<Info> {
        self.tasks.get(&task).copied()
    }

    /// Units may have changed: everything is looked up anew.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Forgets tasks that are no more, now and then.
    pub fn forget(&mut self, state: &State) {
        let tasks = state.tasks_len();
        if self.tasks.len() > tasks * 2 + 1000 {
            self.tasks.retain(|task, _| state.task(*task).is_some());
        }
    }
}
