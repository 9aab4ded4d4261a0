//! Times and sizes of the quorum.

use pond_proto::Span;

/// Times and sizes of the quorum.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// A follower that has heard nothing for this long, or up to twice as long, asks for votes;
    /// in milliseconds.
    pub election_ms: Span,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: Span,
    /// Bytes of entries in one append.
    pub append_bytes: usize,
    /// Appends to one follower that may be unanswered.
    pub in_flight: usize,
    /// Bytes of a snapshot in one chunk.
    pub chunk_bytes: usize,
    /// How far two clocks may drift apart, in thousandths.
    pub drift_permille: u64,
    /// A learner counts as caught up when it lacks at most this many entries.
    pub caught_up: u64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            election_ms: 300,
            heartbeat_ms: 50,
            append_bytes: 512 << 10,
            in_flight: 16,
            chunk_bytes: 256 << 10,
            drift_permille: 50,
            caught_up: 64,
        }
    }
}
