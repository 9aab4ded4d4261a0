//! Who waits for which entry of the log.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_state::Reply;
use tokio::sync::oneshot;

use crate::ring::{Look, Unready};

/// Who waits for a change to be accepted.
pub enum Waiter {
    /// An operator.
    Operator(oneshot::Sender<Result<Reply, Unready>>),
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

/// Proposals and reads on their way.
#[derive(Default)]
pub struct Tickets {
    next: u64,
    proposed: BTreeMap<u64, Waiter>,
    appended: BTreeMap<u64, (u64, Waiter)>,
    asked: BTreeMap<u64, Look>,
    confirmed: Vec<(u64, Look)>,
}

impl Tickets {
    /// A ticket for a proposal.
    pub fn propose(&mut self, waiter: Waiter) -> u64 {
        self.next += 1;
        self.proposed.insert(self.next, waiter);
        self.next
    }

    /// A ticket for a read.
    pub fn read(&mut self, look: Look) -> u64 {
        self.next += 1;
        self.asked.insert(self.next, look);
        self.next
    }

    /// A proposal has its place in the log.
    pub fn appended(&mut self, ticket: u64, index: u64, term: u64) {
        if let Some(waiter) = self.proposed.remove(&ticket) {
            self.appended.insert(index, (term, waiter));
        }
    }

    /// A proposal or read could not be done; who waited for it.
    pub fn rejected(&mut self, ticket: u64) -> (Option<Waiter>, Option<Look>) {
        (self.proposed.remove(&ticket), self.asked.remove(&ticket))
    }

    /// A read may be done once entries up to `index` are applied.
    pub fn confirmed(&mut self, ticket: u64, index: u64) {
        if let Some(look) = self.asked.remove(&ticket) {
            self.confirmed.push((index, look));
        }
    }

    /// The reads that may be done when entries up to `applied` are applied.
    pub fn due(&mut self, applied: u64) -> Vec<Look> {
        let (due, later) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed = later;
        due.into_iter().map(|(_, look): (u64, Look)| look).collect()
    }

    /// An entry was applied: who waited for it, or for another that lost its place to it.
    pub fn applied(&mut self, index: u64, term: u64) -> Option<(bool, Waiter)> {
        let (expected, waiter) = self.appended.remove(&index)?;
        Some((expected == term, waiter))
    }

    /// Who still waits for an own proposal.
    pub fn own_open(&self) -> usize {
        let own = |waiter: &&Waiter| matches!(waiter, Waiter::Own);
        self.proposed.values().filter(own).count()
            + self.appended.values().map(|(_, waiter)| waiter).filter(own).count()
    }

    /// All who wait, when this replica leads no more and cannot tell them the result.
    pub fn drain(&mut self) -> Vec<Waiter> {
        let proposed = std::mem::take(&mut self.proposed).into_values();
        let appended = std::mem::take(&mut self.appended).into_values().map(|(_, waiter)| waiter);
        proposed.chain(appended).collect()
    }
}
