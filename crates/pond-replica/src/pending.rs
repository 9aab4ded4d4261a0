//! Proposals that wait for their entry in the log.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use tokio::sync::oneshot;

use crate::handle::RequestError;

/// The origin of a proposal, which waits for its result.
pub enum Waiter {
    /// An entry process, on behalf of a caller.
    Entry {
        /// The link to the entry process.
        link: LinkKey,
        /// The ticket that the entry process chose.
        ticket: u64,
        /// The job that the request concerns.
        job: u64,
    },
    /// An entry process, on behalf of a caller who cancels a job that is not known.
    Cancellation {
        /// The link to the entry process.
        link: LinkKey,
        /// The ticket that the entry process chose.
        ticket: u64,
        /// The job.
        job: u64,
        /// Whether the entry knows that requests may be rejected.
        understands_rejection: bool,
    },
    /// An operator who changes the configuration or the evacuations.
    Operator(oneshot::Sender<Result<(), RequestError>>),
    /// The leader, which starts runs.
    Starts,
    /// The leader, for any other decision.
    Decision,
}

/// Proposals that are not yet applied.
#[derive(Default)]
pub struct Pending {
    next: u64,
    proposed: BTreeMap<u64, Waiter>,
    appended: BTreeMap<u64, (u64, Waiter)>,
}

impl Pending {
    /// Registers a proposal and returns its ticket.
    pub fn ticket(&mut self, waiter: Waiter) -> u64 {
        self.next += 1;
        self.proposed.insert(self.next, waiter);
        self.next
    }

    /// Records the log position of a proposal.
    pub fn appended(&mut self, ticket: u64, index: u64, term: u64) {
        if let Some(waiter) = self.proposed.remove(&ticket) {
            self.appended.insert(index, (term, waiter));
        }
    }

    /// Removes a proposal that was rejected before it was appended to the log.
    pub fn rejected(&mut self, ticket: u64) -> Option<Waiter> {
        self.proposed.remove(&ticket)
    }

    /// Removes the proposal at an applied position. Returns whether the applied entry is the proposed one,
    /// which it is not if its term differs, and who waits for it.
    pub fn applied(&mut self, index: u64, term: u64) -> Option<(bool, Waiter)> {
        let (expected, waiter) = self.appended.remove(&index)?;
        Some((expected == term, waiter))
    }

    /// Whether a proposal that concerns a job waits for its result.
    pub fn is_in_flight(&self, id: u64) -> bool {
        // Proposals are applied within milliseconds, so there are few.
        let concerns = |waiter: &Waiter| matches!(waiter, Waiter::Entry { job, .. } if *job == id);
        let mut appended = self.appended.values().map(|(_, waiter)| waiter);
        self.proposed.values().any(concerns) || appended.any(concerns)
    }

    /// Removes all proposals. Called when this replica stops leading and cannot learn their results.
    pub fn drain(&mut self) -> Vec<Waiter> {
        let proposed = std::mem::take(&mut self.proposed).into_values();
        let appended = std::mem::take(&mut self.appended).into_values().map(|(_, waiter)| waiter);
        proposed.chain(appended).collect()
    }
}
