//! Units as the state knows them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pond_proto::{Millis, TaskKey, Unit, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::decision::Decision;

/// How many decisions are kept for each unit.
const DECISIONS_KEPT: usize = 32;

/// Where a unit stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Standing {
    /// It shall run.
    Wanted,
    /// It can run nowhere now; judged when the room had this count.
    Aside {
        /// See [`crate::State::room`].
        room: u64,
    },
    /// A job that came to its end.
    Done,
    /// A job that failed too often.
    Failed {
        /// The last reason.
        reason: String,
    },
    /// An operator cancelled it.
    Cancelled,
}

/// The record of an eviction. A resume consumes it, so that work resumes exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Resume {
    /// The run that was evicted.
    pub attempt: u32,
    /// How far it came.
    pub checkpoint: u64,
}

/// One unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// As the operator described it.
    pub unit: Unit,
    /// The version that last changed it.
    pub version: u64,
    /// When it was created.
    pub created: Millis,
    /// Where it stands.
    pub standing: Standing,
    /// Its tasks by replica.
    pub tasks: BTreeMap<u32, TaskKey>,
    /// Runs so far, by replica.
    pub attempts: BTreeMap<u32, u32>,
    /// The open eviction, for a job.
    pub resume: Option<Resume>,
    /// How often a run failed.
    pub failures: u32,
    /// VMs on which a run failed.
    pub failed_on: BTreeSet<VmKey>,
    /// How often in a row a task was lost soon after its start. (Snapshots of earlier versions have none.)
    #[serde(default)]
    pub losses: u32,
    /// How often it was moved.
    pub moves: u32,
    /// It is not placed before this time.
    pub not_before: Millis,
    /// The last decisions, oldest first.
    pub decisions: VecDeque<Decision>,
}

impl UnitRecord {
    /// A unit that was just created.
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

    /// The replicas that shall run and have no task.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        let wanted = match self.standing {
            Standing::Wanted | Standing::Aside { .. } => self.unit.replicas(),
            _ => 0,
        };
        (0..wanted).filter(|replica| !self.tasks.contains_key(replica))
    }

    /// Keeps a decision and forgets the oldest.
    pub fn note(&mut self, decision: Decision) {
        self.decisions.push_back(decision);
        if self.decisions.len() > DECISIONS_KEPT {
            self.decisions.pop_front();
        }
    }

    /// Whether it ended for good.
    pub fn ended(&self) -> bool {
        matches!(self.standing, Standing::Done | Standing::Failed { .. } | Standing::Cancelled)
    }
}
