//! Who waits for which entry of the log.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use tokio::sync::oneshot;

use crate::handle::RequestError;

/// Who waits for a change.
pub enum Waiter {
    /// An entry, for a caller.
    Entry {
        /// The entry's link.
        link: LinkKey,
        /// The entry's ticket.
        ticket: u64,
        /// The job that it is about.
        job: u64,
    },
    /// An operator with a configuration.
    Operator(oneshot::Sender<Result<(), RequestError>>),
    /// The leader's own start of runs.
    Starts,
    /// Another decision of the leader.
    Decision,
}

/// Proposals on their way.
#[derive(Default)]
pub struct Pending {
    next: u64,
    proposed: BTreeMap<u64, Waiter>,
    appended: BTreeMap<u64, (u64, Waiter)>,
}

impl Pending {
    /// A ticket for a proposal.
    pub fn ticket(&mut self, waiter: Waiter) -> u64 {
        self.next += 1;
        self.proposed.insert(self.next, waiter);
        self.next
    }

    /// A proposal has its place in the log.
    pub fn appended(&mut self, ticket: u64, index: u64, term: u64) {
        if let Some(waiter) = self.proposed.remove(&ticket) {
            self.appended.insert(index, (term, waiter));
        }
    }

    /// A proposal was refused before it had a place in the log.
    pub fn rejected(&mut self, ticket: u64) -> Option<Waiter> {
        self.proposed.remove(&ticket)
    }

    /// An entry was applied: who waited for it, and whether it is still the one they meant.
    pub fn applied(&mut self, index: u64, term: u64) -> Option<(bool, Waiter)> {
        let (expected, waiter) = self.appended.remove(&index)?;
        Some((expected == term, waiter))
    }

    /// All who wait, when this replica stops leading and cannot tell them the result.
    pub fn drain(&mut self) -> Vec<Waiter> {
        let proposed = std::mem::take(&mut self.proposed).into_values();
        let appended = std::mem::take(&mut self.appended).into_values().map(|(_, waiter)| waiter);
        proposed.chain(appended).collect()
    }
}
