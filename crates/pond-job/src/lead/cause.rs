//! How likely a task takes down its workers, after one more loss under it.
//!
//! By Bayes' rule: a task that takes workers down would have caused this loss for certain. Otherwise the loss
//! was caused by a task of another job that had just begun there, or the worker went down by itself while it
//! happened to have just begun. So with `p` for each job that had just begun there, and `b` for the chance that
//! the worker went down by itself in that time, the loss had the probability `1 - (1 - b) * product(1 - p)`, and
//! each `p` grows by one over that. In calm two losses of a task that began alone are next to certain;
//! where workers go down all the time, or several began together, it takes more.

use std::collections::BTreeMap;

use pond_proto::Span;

/// How likely a task of which nothing is known takes down its workers.
const PRIOR: f64 = 0.001;

/// Chance that a worker went down for a reason of its own where several did, or where nothing is told of it.
const COMMON_CAUSE: f64 = 0.5;

/// A worker that was not known to live when a run began may have been down for up to this long, in
/// milliseconds: workers that are down are back after some seconds.
const MAX_OUTAGE_MS: Span = 3_000;

/// Before a leader has seen a worker go down by itself it counts as if one had after so much time of one
/// worker, in milliseconds.
const PRIOR_EXPOSURE_MS: f64 = 10_000.0;

/// How often workers go down without a start that explains it, as one leader has seen it.
#[derive(Debug, Default)]
pub struct Rate {
    /// Losses that no start explains.
    losses: u32,
}

impl Rate {
    /// A worker went down, and nothing had just begun there.
    pub fn note(&mut self) {
        self.losses += 1;
    }

    /// The chance that a worker goes down by itself within a time, in milliseconds, as seen over so many
    /// workers for so long.
    pub fn within(&self, window_ms: Span, workers: usize, observed_ms: Span) -> f64 {
        let exposure_ms = workers as f64 * observed_ms as f64 + PRIOR_EXPOSURE_MS;
        let each_ms = f64::from(self.losses + 1) / exposure_ms;
        (each_ms * window_ms as f64).min(COMMON_CAUSE)
    }
}

/// What else may have caused a loss.
#[derive(Debug)]
pub struct Causes {
    /// Chance that the worker went down by itself.
    spontaneous: f64,
    /// How likely each job that had just begun there takes down its workers.
    jobs: BTreeMap<u64, f64>,
}

impl Causes {
    /// The worker went down by itself with that chance.
    pub fn new(spontaneous: f64) -> Causes {
        Causes { spontaneous, jobs: BTreeMap::new() }
    }

    /// Several workers went down together, or nobody saw how this one did.
    pub fn unclear() -> Causes {
        Causes::new(COMMON_CAUSE)
    }

    /// A task of a job had just begun there, and was as likely the kind that takes down workers before.
    pub fn add(&mut self, job: u64, prior: Option<f64>) {
        let likely = self.jobs.entry(job).or_default();
        *likely = likely.max(prior.unwrap_or(0.0).max(PRIOR));
    }

    /// How likely a task that had just begun there is of that kind, with this loss.
    pub fn posterior(&self, prior: Option<f64>) -> f64 {
        let innocent: f64 = self.jobs.values().map(|likely| 1.0 - likely).product();
        let loss = 1.0 - (1.0 - self.spontaneous) * innocent;
        (prior.unwrap_or(0.0).max(PRIOR) / loss).min(1.0)
    }
}

/// The time within which a loss would look like this one, for a worker that went down by itself, in milliseconds.
pub fn window_ms(alive_at_start: bool, judged_within_ms: Span) -> Span {
    if alive_at_start { judged_within_ms } else { judged_within_ms + MAX_OUTAGE_MS }
}
