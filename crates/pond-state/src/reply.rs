//! What a change led to.

use pond_proto::TaskKey;
use pond_proto::wire::Verdict;
use serde::{Deserialize, Serialize};

use crate::claims::KeptAnswer;

/// What a change led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It is accepted and made this version.
    Accepted {
        /// The version of the configuration after it.
        version: u64,
        /// What changed, for people.
        what: String,
    },
    /// It was placed as this task.
    Placed(TaskKey),
    /// It was not taken.
    Refused(Refusal),
    /// How a claim was decided.
    Claim(Decided),
    /// It was taken note of.
    Noted,
}

/// How a claim was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// A [`Verdict`] by number.
    pub verdict: i32,
    /// The kept answer.
    pub answer: Option<KeptAnswer>,
}

impl Decided {
    /// A decision without an answer.
    pub fn new(verdict: Verdict) -> Decided {
        Decided { verdict: verdict as i32, answer: None }
    }
}

/// Why a change was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The sender based it on another version.
    Conflict {
        /// The version now.
        have: u64,
        /// The version that the sender named.
        expected: u64,
        /// What changed in between, for people.
        since: Vec<String>,
    },
    /// The same identity came with another content.
    IdentityUsed,
    /// Nothing matches.
    NoMatch {
        /// What was looked for.
        what: String,
    },
    /// The VM is not there or takes no work.
    VmClosed,
    /// The VM has not that much room.
    NoRoom,
    /// The unit needs no such task now.
    NotNeeded,
    /// The team has no quota left.
    Quota,
    /// There is no such task.
    NoTask,
    /// The task is in another phase.
    WrongPhase,
}
