//! Probability that a task takes down its workers, updated after each loss.
//!
//! By Bayes' rule: a task that takes workers down would certainly have caused this loss. Otherwise
//! the loss was caused by a task of another job that had just started there, or the worker crashed
//! spontaneously at that moment. With `p` for each job that had just started there and `b` for the
//! probability of a spontaneous crash in that time, the loss had the probability
//! `1 - (1 - b) * product(1 - p)`, and each `p` is divided by it. If spontaneous crashes are rare,
//! two losses of a task that started alone make it almost certainly the cause. If workers crash all
//! the time, or several tasks started together, it takes more losses.

use std::collections::BTreeMap;

use pond_proto::Span;

/// Probability that a task about which nothing is known takes down its workers.
const PRIOR: f64 = 0.001;

/// Probability that a worker crashed for an unrelated reason if several workers did, or if nothing
/// is reported about the loss.
const COMMON_CAUSE: f64 = 0.5;

/// Maximum time for which a worker that was not known to be alive at the start of a run may have
/// been down already, in milliseconds. Workers return after some seconds.
const MAX_OUTAGE_MS: Span = 3_000;

/// Prior of the rate of spontaneous crashes: one crash in this much worker time, in milliseconds.
const PRIOR_EXPOSURE_MS: f64 = 10_000.0;

/// Rate of worker losses that no start explains, as seen by one leader.
#[derive(Debug, Default)]
pub struct Rate {
    /// Number of losses that no start explains.
    losses: u32,
}

impl Rate {
    /// Records the loss of a worker on which nothing had just started.
    pub fn record(&mut self) {
        self.losses += 1;
    }

    /// Returns the probability that a worker crashes spontaneously within a time window, given the
    /// number of workers and how long they were observed; times are in milliseconds.
    pub fn within(&self, window_ms: Span, workers: usize, observed_ms: Span) -> f64 {
        let exposure_ms = workers as f64 * observed_ms as f64 + PRIOR_EXPOSURE_MS;
        let crashes_per_ms = f64::from(self.losses + 1) / exposure_ms;
        (crashes_per_ms * window_ms as f64).min(COMMON_CAUSE)
    }
}

/// Possible causes of a loss.
#[derive(Debug)]
pub struct Causes {
    /// Probability that the worker crashed spontaneously.
    spontaneous: f64,
    /// Probability, for each job that had just started there, that it takes down its workers.
    jobs: BTreeMap<u64, f64>,
}

impl Causes {
    /// Creates the causes of a loss with that probability of a spontaneous crash.
    pub fn new(spontaneous: f64) -> Causes {
        Causes { spontaneous, jobs: BTreeMap::new() }
    }

    /// Creates the causes of a loss that coincided with others or that nobody observed.
    pub fn unclear() -> Causes {
        Causes::new(COMMON_CAUSE)
    }

    /// Adds a task of a job that had just started there, with its probability before this loss.
    pub fn add(&mut self, job: u64, prior: Option<f64>) {
        let likely = self.jobs.entry(job).or_default();
        *likely = likely.max(prior.unwrap_or(0.0).max(PRIOR));
    }

    /// Returns the probability, including this loss, that a task that had just started there takes
    /// down its workers.
    pub fn posterior(&self, prior: Option<f64>) -> f64 {
        let innocent: f64 = self.jobs.values().map(|likely| 1.0 - likely).product();
        let loss = 1.0 - (1.0 - self.spontaneous) * innocent;
        (prior.unwrap_or(0.0).max(PRIOR) / loss).min(1.0)
    }
}

/// Returns the time window in which a spontaneous crash would look like this loss, in milliseconds.
/// `judged_within_ms` is how long after its start a run counts as a possible cause.
pub fn window_ms(alive_at_start: bool, judged_within_ms: Span) -> Span {
    if alive_at_start { judged_within_ms } else { judged_within_ms + MAX_OUTAGE_MS }
}
