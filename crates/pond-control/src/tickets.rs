//! Pending proposals and reads, and who waits for them.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_state::Reply;
use tokio::sync::oneshot;

use crate::input::{NotLeader, StateReader};

/// The party that waits for the result of a proposal.
pub enum Waiter {
    /// An operator.
    Operator(oneshot::Sender<Result<Reply, NotLeader>>),
    /// An entry that asked for a claim, with its ticket.
    Claim {
        /// The entry's link.
        link: LinkKey,
        /// The entry's ticket.
        ticket: u64,
    },
    /// The reconciler or the scheduler of this replica.
    Own,
}

/// The pending proposals and reads, by ticket.
#[derive(Default)]
pub struct Tickets {
    next: u64,
    proposed: BTreeMap<u64, Waiter>,
    appended: BTreeMap<u64, (u64, Waiter)>,
    reads: BTreeMap<u64, StateReader>,
    confirmed: Vec<(u64, StateReader)>,
}

impl Tickets {
    /// Creates a ticket for a proposal.
    pub fn propose(&mut self, waiter: Waiter) -> u64 {
        self.next += 1;
        self.proposed.insert(self.next, waiter);
        self.next
    }

    /// Creates a ticket for a read.
    pub fn read(&mut self, read_state: StateReader) -> u64 {
        self.next += 1;
        self.reads.insert(self.next, read_state);
        self.next
    }

    /// Records the place of a proposal in the log.
    pub fn appended(&mut self, ticket: u64, index: u64, term: u64) {
        if let Some(waiter) = self.proposed.remove(&ticket) {
            self.appended.insert(index, (term, waiter));
        }
    }

    /// Removes a rejected proposal or read and returns who waited for it.
    pub fn rejected(&mut self, ticket: u64) -> (Option<Waiter>, Option<StateReader>) {
        (self.proposed.remove(&ticket), self.reads.remove(&ticket))
    }

    /// Records that a read may run once all entries up to `index` are applied.
    pub fn confirmed(&mut self, ticket: u64, index: u64) {
        if let Some(read_state) = self.reads.remove(&ticket) {
            self.confirmed.push((index, read_state));
        }
    }

    /// Takes the reads that may run when all entries up to `applied` are applied.
    pub fn take_due(&mut self, applied: u64) -> Vec<StateReader> {
        let (due, later) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed = later;
        due.into_iter().map(|(_, read_state): (u64, StateReader)| read_state).collect()
    }

    /// Removes and returns the waiter for the entry at `index` and whether the applied entry is the
    /// one it waited for; if not, another entry replaced it.
    pub fn applied(&mut self, index: u64, term: u64) -> Option<(bool, Waiter)> {
        let (expected, waiter) = self.appended.remove(&index)?;
        Some((expected == term, waiter))
    }

    /// Returns the number of pending proposals of the reconciler and the scheduler.
    pub fn own_pending(&self) -> usize {
        let own = |waiter: &&Waiter| matches!(waiter, Waiter::Own);
        self.proposed.values().filter(own).count()
            + self.appended.values().map(|(_, waiter)| waiter).filter(own).count()
    }

    /// Takes all waiters, when this replica is no longer the leader and will not learn the results.
    pub fn drain(&mut self) -> Vec<Waiter> {
        let proposed = std::mem::take(&mut self.proposed).into_values();
        let appended = std::mem::take(&mut self.appended).into_values().map(|(_, waiter)| waiter);
        proposed.chain(appended).collect()
    }
}
