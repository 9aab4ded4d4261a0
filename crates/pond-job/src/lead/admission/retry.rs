//! Times after which callers of rejected jobs may retry.

use pond_proto::Span;

/// Shortest time, in milliseconds. `Retry-After` has whole seconds.
const MIN_MS: Span = 1_000;

/// Longest time, in milliseconds. The load changes within some seconds.
const MAX_MS: Span = 5_000;

/// Multiplier of a hash that spreads consecutive ids evenly (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the time after which to retry if the forecast is that much too long, both in
/// milliseconds. It is extended by up to a half, depending on the id of the job, so that callers
/// do not return together.
pub fn retry_after_ms(excess_ms: Span, id: u64) -> Span {
    let earliest = excess_ms.clamp(MIN_MS, MAX_MS * 2 / 3);
    let hash = (id ^ (id >> 32)).wrapping_mul(HASH_MULTIPLIER) >> 32;
    earliest + (((earliest / 2) * hash) >> 32)
}
