//! The results of changes.

use pond_proto::TaskKey;
use pond_proto::wire::Verdict;
use serde::{Deserialize, Serialize};

use crate::claims::KeptAnswer;

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The order was accepted.
    Accepted {
        /// The version of the configuration after it.
        version: u64,
        /// A description of the change, for people.
        what: String,
    },
    /// The replica was placed as this task.
    Placed(TaskKey),
    /// The change was refused.
    Refused(Refusal),
    /// The claim was decided.
    Claim(Decided),
    /// The change was recorded.
    Noted,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// The number of a [`Verdict`].
    pub verdict: i32,
    /// The kept answer, if the request was already answered.
    pub answer: Option<KeptAnswer>,
}

impl Decided {
    /// Creates a decision without an answer.
    pub fn new(verdict: Verdict) -> Decided {
        Decided { verdict: verdict as i32, answer: None }
    }
}

/// The reason why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The sender based the change on another version.
    Conflict {
        /// The current version.
        have: u64,
        /// The version that the sender expected.
        expected: u64,
        /// Descriptions of the changes in between, for people.
        since: Vec<String>,
    },
    /// The same identity was already used for another order.
    IdentityUsed,
    /// Nothing matches the order.
    NoMatch {
        /// A description of what was searched for.
        what: String,
    },
    /// The VM does not exist or accepts no work.
    VmClosed,
    /// The VM has too little free room.
    NoRoom,
    /// The unit does not need this replica now.
    NotNeeded,
    /// The team has no quota left.
    Quota,
    /// The task does not exist.
    NoTask,
    /// The action is invalid in the task's phase.
    WrongPhase,
}
