//! Units and their records in the replicated state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pond_proto::{Millis, TaskKey, Unit, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::decision::Decision;

/// Maximum number of decisions that are kept for each unit.
const MAX_DECISIONS: usize = 32;

/// The status of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Standing {
    /// It should run.
    Wanted,
    /// No VM can run it now.
    Aside {
        /// The value of [`crate::State::room_version`] when it was set aside.
        room: u64,
    },
    /// The job finished.
    Done,
    /// The job failed too often.
    Failed {
        /// The last reason.
        reason: String,
    },
    /// An operator cancelled it.
    Cancelled,
}

/// The checkpoint of a run that was stopped or lost. The next placement consumes it, so that work
/// resumes exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Resume {
    /// The run that ended.
    pub attempt: u32,
    /// The progress at the checkpoint.
    pub checkpoint: u64,
}

/// The record of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// The unit as the operator described it.
    pub unit: Unit,
    /// The version that last changed it.
    pub version: u64,
    /// When it was created.
    pub created: Millis,
    /// Its status.
    pub standing: Standing,
    /// Its tasks by replica.
    pub tasks: BTreeMap<u32, TaskKey>,
    /// The number of runs so far, by replica.
    pub attempts: BTreeMap<u32, u32>,
    /// The checkpoint that the next run of a job resumes from.
    pub resume: Option<Resume>,
    /// The number of failed runs.
    pub failures: u32,
    /// The VMs on which a run failed.
    pub failed_on: BTreeSet<VmKey>,
    /// The number of consecutive tasks that were lost soon after their start. Snapshots of earlier
    /// versions lack this field.
    #[serde(default)]
    pub losses: u32,
    /// The number of moves.
    pub moves: u32,
    /// The earliest time at which it may be placed.
    pub not_before: Millis,
    /// The most recent decisions, oldest first.
    pub decisions: VecDeque<Decision>,
}

impl UnitRecord {
    /// Creates the record of a new unit.
    pub fn new(unit: Unit, version: u64, created: Millis) -> UnitRecord {
        UnitRecord {
            unit,
            version,
            created,
            standing: Standing::Wanted,
            tasks: BTreeMap::new(),
            attempts: BTreeMap::new(),
            resume: None,
            failures: 0,
            failed_on: BTreeSet::new(),
            losses: 0,
            moves: 0,
            not_before: Millis(0),
            decisions: VecDeque::new(),
        }
    }

    /// Returns the replicas that should run but have no task.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        let wanted = match self.standing {
            Standing::Wanted | Standing::Aside { .. } => self.unit.replicas(),
            _ => 0,
        };
        (0..wanted).filter(|replica| !self.tasks.contains_key(replica))
    }

    /// Adds a decision and drops the oldest one if there are too many.
    pub fn note(&mut self, decision: Decision) {
        self.decisions.push_back(decision);
        if self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
    }

    /// Returns whether the unit has ended permanently.
    pub fn ended(&self) -> bool {
        matches!(self.standing, Standing::Done | Standing::Failed { .. } | Standing::Cancelled)
    }
}
