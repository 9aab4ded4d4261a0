//! What goes into the core and what comes out.

use std::sync::Arc;

use pond_proto::quorum::{Entry, Hard, Letter, Member, Members, SnapshotHead};
use pond_store::{Snapshot, Write};

/// Names something that the shell asked for, so that it can match the answer.
pub type Ticket = u64;

/// Something that happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came in.
    Message(Letter),
    /// The shell wants an entry in the log.
    Propose {
        /// Comes back in [`Output::Appended`] or [`Output::Rejected`].
        ticket: Ticket,
        /// The encoded change.
        data: Vec<u8>,
    },
    /// The shell wants to read the state as it is now or later.
    Read {
        /// Comes back in [`Output::ReadReady`] or [`Output::Rejected`].
        ticket: Ticket,
    },
    /// Everything that was handed out in [`Output::Persist`] so far lasts.
    Persisted,
    /// The shell has saved a snapshot of the state; entries up to it may be dropped.
    Compact(SnapshotImage),
    /// The shell wants another replica to lead, as this one will stop.
    HandOver,
    /// The shell wants a member added as learner; it votes when it has caught up.
    Add(Member),
    /// The shell wants the member with that identity removed.
    Remove(u64),
}

/// A snapshot in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotImage {
    /// What it stands for.
    pub head: SnapshotHead,
    /// The state's bytes.
    pub data: Arc<Vec<u8>>,
}

/// Why something could not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica does not lead.
    NotLeader,
    /// The leader has not yet committed an entry of its own term.
    NotReady,
    /// The leader is handing over.
    HandingOver,
    /// Another change of members is not yet committed.
    MembersChanging,
}

/// Something the shell must do, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write to the log's files; must last before [`Output::SendDurable`] of the same step goes
    /// out, and then be answered by [`Input::Persisted`].
    Persist {
        /// Term, vote and commit index, if they changed.
        hard: Option<Hard>,
        /// Entries; the first one replaces what has its index and all after it.
        entries: Vec<Entry>,
    },
    /// Send now.
    Send(Letter),
    /// Send once all that was handed out before lasts.
    SendDurable(Letter),
    /// The proposal stands in the log at this place; it is accepted when an entry of this place
    /// and term is applied.
    Appended {
        /// The proposal's.
        ticket: Ticket,
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// It could not be done.
    Rejected {
        /// The proposal's or the read's.
        ticket: Ticket,
        /// Why.
        rejection: Rejection,
    },
    /// Apply these accepted entries to the state.
    Apply(Vec<Entry>),
    /// Replace the state and the snapshot file by this.
    Install {
        /// The snapshot.
        image: SnapshotImage,
        /// Whether the log's files keep what they hold behind it.
        keeps_log: bool,
    },
    /// The state may be read for this ticket once entries up to `index` are applied.
    ReadReady {
        /// The read's.
        ticket: Ticket,
        /// See above.
        index: u64,
    },
    /// The role, the term or the leader changed.
    RoleChanged,
    /// The members changed.
    MembersChanged(Members),
}

impl Output {
    /// What of it must last, as the writer of the durable files takes it.
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
