//! The leader's view of a follower.

use pond_proto::{Millis, Span};

/// The leader's view of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Index up to which the follower's log is durable and equal to the leader's.
    pub matched: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// Number of appends without an answer.
    pub in_flight: usize,
    /// Whether the index up to which the logs match is unknown. Then only one append is sent at a time.
    pub probing: bool,
    /// The last round of heartbeats that the follower answered.
    pub round: u64,
    /// When that round was sent.
    pub heard: Millis,
    /// When something was last sent to it.
    pub sent: Millis,
    /// While the follower needs a snapshot: its index, and the bytes of it that the follower has.
    pub snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// Creates the progress of a follower about which nothing is known; the leader's log ends at `last`.
    pub fn new(last: u64) -> Progress {
        Progress {
            matched: 0,
            next: last + 1,
            in_flight: 0,
            probing: true,
            round: 0,
            heard: Millis(0),
            sent: Millis(0),
            snapshot: None,
        }
    }

    /// Whether the follower has answered a round of heartbeats that was sent within the shortest election timeout.
    pub fn answers(&self, now: Millis, election_ms: Span) -> bool {
        self.round > 0 && now.since(self.heard) < election_ms
    }

    /// Whether entries have been sent that the follower has not acknowledged.
    pub fn unacknowledged(&self) -> bool {
        !self.probing && self.next > self.matched + 1
    }

    /// Records that the logs match up to `index`.
    pub fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.probing = false;
    }
}
