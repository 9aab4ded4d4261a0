//! What a leader knows of one follower.

use pond_proto::Millis;

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The follower's log is durable and equal to the leader's up to here.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    /// Appends without an answer.
    pub in_flight: usize,
    /// The place where the logs agree is being looked for: one append at a time.
    pub probing: bool,
    /// The last round of heartbeats that it answered.
    pub round: u64,
    /// When that round was sent.
    pub heard: Millis,
    /// When something was last sent to it.
    pub sent: Millis,
    /// Bytes of the snapshot that it has, while it needs one, and the snapshot's index.
    pub snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// A follower of which nothing is known, on a log that ends at `last`.
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

    /// Whether entries were sent behind the place where the logs agree, and not acknowledged.
    pub fn unacknowledged(&self) -> bool {
        !self.probing && self.next > self.matched + 1
    }

    /// Takes in that the logs are equal up to `index`.
    pub fn matched_to(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.probing = false;
    }
}
