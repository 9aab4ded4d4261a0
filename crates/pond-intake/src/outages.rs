//! The times without a leader that an entry has seen, and how long the current one is expected to last.

use std::collections::VecDeque;

use pond_proto::{Millis, Span};

/// Shortest expected outage, in milliseconds: about the duration of an election.
const MIN_EXPECTED_MS: Span = 600;

/// Number of past outages that are kept. Control restarts its replicas one after the other, which gives
/// two or three outages in a row; more would keep a single long one for too long.
const MAX_KEPT: usize = 5;

/// Time after which an outage is forgotten, in milliseconds: its cause has probably been fixed by then.
const RETENTION_MS: Span = 60_000;

/// An outage that is over.
#[derive(Clone, Copy, Debug)]
struct Outage {
    ended_at: Millis,
    length_ms: Span,
}

/// The outage that lasts.
#[derive(Clone, Copy, Debug)]
struct Current {
    began_at: Millis,
    expected_end: Millis,
}

/// The outages of control that an entry has seen: the times from the loss of a leader to the next one.
///
/// An outage is expected to last as long as the longest of the last few, and at least one election.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    past: VecDeque<Outage>,
    current: Option<Current>,
}

impl Outages {
    /// Records the loss of the leader.
    pub(crate) fn begin(&mut self, now: Millis) {
        self.past.retain(|outage| now.since(outage.ended_at) < RETENTION_MS);
        let longest_ms = self.past.iter().map(|outage| outage.length_ms).max().unwrap_or(0);
        let expected_end = now + longest_ms.max(MIN_EXPECTED_MS);
        self.current = Some(Current { began_at: now, expected_end });
    }

    /// Records that there is a leader again.
    pub(crate) fn end(&mut self, now: Millis) {
        let Some(current) = self.current.take() else { return };
        if self.past.len() >= MAX_KEPT {
            self.past.pop_front();
        }
        self.past.push_back(Outage { ended_at: now, length_ms: now.since(current.began_at) });
    }

    /// Returns when the current outage has lasted for one election; `None` if there is none, or if it
    /// already has.
    pub(crate) fn election_end(&self, now: Millis) -> Option<Millis> {
        let end = self.current.map(|current| current.began_at + MIN_EXPECTED_MS);
        end.filter(|end| now < *end)
    }

    /// Returns when the current outage is expected to end; `None` if there is none, or if it already
    /// lasts longer than expected.
    pub(crate) fn expected_end(&self, now: Millis) -> Option<Millis> {
        self.current.map(|current| current.expected_end).filter(|end| now < *end)
    }
}
