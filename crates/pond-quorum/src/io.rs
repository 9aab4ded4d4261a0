//! Inputs and outputs of the core.

use std::sync::Arc;

use pond_proto::quorum::{Entry, Envelope, HardState, Member, Members, SnapshotHeader};
use pond_store::{Snapshot, Write};

/// Identifies a request of the caller, so that it can match the answer.
pub type Ticket = u64;

/// Something that happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received.
    Message(Envelope),
    /// The caller proposes an entry for the log.
    Propose {
        /// Returned in [`Output::Appended`] or [`Output::Rejected`].
        ticket: Ticket,
        /// The encoded change.
        data: Vec<u8>,
    },
    /// The caller wants to read a state that is at least as new as the current one.
    Read {
        /// Returned in [`Output::ReadReady`] or [`Output::Rejected`].
        ticket: Ticket,
    },
    /// The contents of all [`Output::Persist`] so far are durable.
    Persisted,
    /// The caller has saved a snapshot of the state; entries up to its index may be dropped.
    Compact(SnapshotImage),
    /// The caller wants another replica to take over leadership.
    TransferLeadership,
    /// The caller wants a member added as a learner; it becomes a voter once it has caught up.
    Add(Member),
    /// The caller wants the member with this identity removed.
    Remove(u64),
}

/// A snapshot in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotImage {
    /// Its index, its term and the members.
    pub head: SnapshotHeader,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}

/// Why a proposal or a read was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica does not lead.
    NotLeader,
    /// The leader has not yet committed an entry of its own term.
    NotReady,
    /// The leader is transferring leadership.
    HandingOver,
    /// Another change of members is not yet committed.
    MembersChanging,
}

/// An action for the caller. Actions must be taken in the order in which they are returned.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write to the log's files. The data must be durable before [`Output::SendDurable`] of the same
    /// step is sent, and must then be confirmed by [`Input::Persisted`].
    Persist {
        /// Term, vote and commit index, if they changed.
        hard: Option<HardState>,
        /// Entries. The first one replaces any stored entry with its index and all later ones.
        entries: Vec<Entry>,
    },
    /// Send at once.
    Send(Envelope),
    /// Send once all previously returned writes are durable.
    SendDurable(Envelope),
    /// The proposal was appended to the log at this position. It is committed once an entry with this
    /// index and term is applied.
    Appended {
        /// The ticket of the proposal.
        ticket: Ticket,
        /// The index of the entry.
        index: u64,
        /// The term of the entry.
        term: u64,
    },
    /// A proposal or a read was rejected.
    Rejected {
        /// The ticket of the proposal or of the read.
        ticket: Ticket,
        /// The reason.
        rejection: Rejection,
    },
    /// Apply these committed entries to the state.
    Apply(Vec<Entry>),
    /// Replace the state and the snapshot file with this snapshot.
    Install {
        /// The snapshot.
        image: SnapshotImage,
        /// Whether the log's files keep the entries after the snapshot's index.
        keeps_log: bool,
    },
    /// The state may be read for this ticket once entries up to `index` are applied.
    ReadReady {
        /// The ticket of the read.
        ticket: Ticket,
        /// The index up to which entries must be applied.
        index: u64,
    },
    /// The role, the term or the leader changed.
    RoleChanged,
    /// The members changed.
    MembersChanged(Members),
}

impl Output {
    /// Returns the durable write that this output requires, if any, for [`pond_store::Writer`].
    pub fn durable_write(&self) -> Option<Write> {
        match self {
            Output::Persist { hard, entries } => {
                Some(Write::Batch { hard: *hard, entries: entries.clone() })
            }
            Output::Install { image, keeps_log } => {
                let data = image.data.as_ref().clone();
                let snapshot = Snapshot { head: image.head.clone(), data };
                Some(Write::Snapshot { snapshot, keeps_log: *keeps_log })
            }
            _ => None,
        }
    }
}
