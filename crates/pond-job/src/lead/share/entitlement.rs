//! Max-min fair shares of short and long-running tasks.

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

/// Utilization up to which short tasks hardly wait for each other, in percent of the processors
/// that they are entitled to.
const SHORT_UTILIZATION_PERCENT: f64 = 80.0;

/// Time in which what short queues ask for falls to 37 % once less arrives, in milliseconds.
/// Long-running tasks stay for minutes, so they get no processors that short tasks only do without
/// between two bursts.
const RELEASE_MS: Span = 10_000;

/// Short queues that ask for less than this ask for nothing, in thousandths of a processor: without
/// arrivals the mean never reaches zero.
const MIN_ASKED: f64 = 1_000.0;

/// Returns the processors that short tasks are entitled to, in thousandths of a processor, if both
/// sides ask for that much: what they ask for if that is at most half of the capacity, otherwise what the
/// other side leaves, and half at least.
pub(super) fn entitlement(capacity: f64, short: f64, long_running: f64) -> f64 {
    short.min((capacity / 2.0).max(capacity - long_running)).max(0.0)
}

/// What short queues have recently asked for, by pool and priority, in thousandths of a processor.
#[derive(Debug, Default)]
pub(in crate::lead) struct Asked {
    peaks: BTreeMap<(String, u32), (f64, Millis)>,
}

impl Asked {
    /// Returns what short queues ask for, given their offered load. A decline takes effect slowly,
    /// so a load above the capacity of the pool counts as that capacity.
    pub fn update(
        &mut self,
        now: Millis,
        pool: &str,
        priority: u32,
        offered: f64,
        capacity: f64,
    ) -> f64 {
        let needed = (offered * 100.0 / SHORT_UTILIZATION_PERCENT).min(capacity);
        let key = (pool.to_owned(), priority);
        let (peak, at) = self.peaks.get(&key).copied().unwrap_or((0.0, now));
        let decayed = peak * (-(now.since(at) as f64) / RELEASE_MS as f64).exp();
        let asked = match needed.max(decayed) {
            negligible if negligible < MIN_ASKED => 0.0,
            asked => asked,
        };
        self.peaks.insert(key, (asked, now));
        asked
    }
}
