//! Timing and size limits of the quorum.

use pond_proto::Span;

/// Timing and size limits of the quorum.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Shortest election timeout, in milliseconds; the actual timeout is random, up to twice as long.
    pub election_ms: Span,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: Span,
    /// Maximum size of the entries in one append, in bytes.
    pub max_append_bytes: usize,
    /// Maximum number of unanswered appends to one follower.
    pub max_in_flight: usize,
    /// Maximum size of a chunk of a snapshot, in bytes.
    pub max_chunk_bytes: usize,
    /// Maximum relative drift between two clocks, in thousandths.
    pub drift_permille: u64,
    /// Maximum number of entries that a learner may lack to count as caught up.
    pub max_learner_lag: u64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            election_ms: 300,
            heartbeat_ms: 50,
            max_append_bytes: 512 << 10,
            max_in_flight: 16,
            max_chunk_bytes: 256 << 10,
            drift_permille: 50,
            max_learner_lag: 64,
        }
    }
}
