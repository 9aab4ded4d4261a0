//! Hypotheses about a task: it is innocent, or it crashes each of its workers at about the same age
//! of its runs, or at any age.

use pond_proto::Span;

use crate::evidence::Exposure;

/// Probability that a task about which nothing is known crashes its workers.
const PRIOR: f64 = 0.03;

/// Classes of the age at which a task crashes its workers: the upper bound of the age, in
/// milliseconds, and the share of crashing tasks. Most crash their workers at their start.
const AGES: [(f64, f64); 18] = [
    (100.0, 0.60),
    (200.0, 0.04),
    (300.0, 0.03),
    (400.0, 0.03),
    (600.0, 0.04),
    (800.0, 0.03),
    (1_000.0, 0.02),
    (1_300.0, 0.02),
    (1_600.0, 0.02),
    (2_000.0, 0.02),
    (2_500.0, 0.02),
    (3_000.0, 0.02),
    (3_500.0, 0.015),
    (4_000.0, 0.015),
    (5_000.0, 0.02),
    (6_000.0, 0.02),
    (8_000.0, 0.02),
    (10_000.0, 0.02),
];

/// Share of crashing tasks that crash their workers at any age.
const ANY_AGE_SHARE: f64 = 0.02;

/// Rate at which those crash their workers, per millisecond.
const ANY_AGE_PER_MS: f64 = 1.0 / 3_000.0;

/// Probability that a task does not crash its worker at its usual age.
const OUTLIVED: f64 = 0.02;

/// Time from the last known survival of a worker until its crash: means of two exponential
/// distributions, in milliseconds, and their shares. Most workers are asked again shortly, others
/// only when their turn comes.
const REPORT_LAGS: [(f64, f64); 2] = [(150.0, 0.7), (500.0, 0.3)];

/// Number of hypotheses: innocence, a class of ages each, and any age.
const COUNT: usize = AGES.len() + 2;

/// Index of the innocence of a task.
const INNOCENT: usize = 0;

/// Index of crashes at any age.
const ANY_AGE: usize = COUNT - 1;

/// A figure for each hypothesis about a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights([f64; COUNT]);

impl Weights {
    /// Creates the prior weights of one of `count` tasks of a job, of which at most one is the
    /// cause, if workers have survived runs of it for `outlived_ms` milliseconds.
    pub fn new(count: usize, outlived_ms: Span) -> Weights {
        let prior = PRIOR / count as f64;
        let mut weights = [0.0; COUNT];
        weights[INNOCENT] = 1.0 - PRIOR;
        for (weight, (_, share)) in weights[INNOCENT + 1..].iter_mut().zip(AGES) {
            *weight = prior * share;
        }
        weights[ANY_AGE] = prior * ANY_AGE_SHARE;
        Weights(weights).times(&survival(outlived_ms))
    }

    /// Multiplies the weight of each hypothesis by a factor.
    pub fn times(self, factors: &Weights) -> Weights {
        let mut product = self;
        product.0.iter_mut().zip(factors.0).for_each(|(weight, factor)| *weight *= factor);
        product
    }

    /// Multiplies all weights by the same factor.
    pub fn scaled(self, factor: f64) -> Weights {
        Weights(self.0.map(|weight| weight * factor))
    }

    /// Adds the weights of each hypothesis.
    pub fn plus(mut self, other: &Weights) -> Weights {
        self.0.iter_mut().zip(other.0).for_each(|(weight, other)| *weight += other);
        self
    }

    /// Returns the sum of the weights.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the sum of the weights, which is positive.
    pub fn sum(&self) -> f64 {
        self.total().max(f64::MIN_POSITIVE)
    }

    /// Returns the probability of innocence.
    pub fn innocence(&self) -> f64 {
        self.0[INNOCENT] / self.sum()
    }
}

/// How likely what was observed of a run on a lost worker is under each hypothesis about its task.
#[derive(Clone, Debug)]
pub struct Likelihood {
    /// Density of a crash by the task at the time of the loss, per millisecond.
    pub crash: Weights,
    /// Probability that the task did not crash the worker until then.
    pub survival: Weights,
}

impl Likelihood {
    /// Creates the likelihood of what was observed.
    pub fn new(exposure: &Exposure) -> Likelihood {
        let survival = survival(exposure.survived_ms);
        let mut crash = [0.0; COUNT];
        let mut from_ms = 0.0;
        for (density, (upper_ms, _)) in crash[INNOCENT + 1..].iter_mut().zip(AGES) {
            let within = unnoticed_until(exposure, from_ms) - unnoticed_until(exposure, upper_ms);
            *density = within / (upper_ms - from_ms);
            from_ms = upper_ms;
        }
        crash[ANY_AGE] = ANY_AGE_PER_MS * survival.0[ANY_AGE];
        Likelihood { crash: Weights(crash), survival }
    }
}

/// Returns the probability that the worker was known to have survived the run for no longer,
/// if it crashed at this age of the run, in milliseconds, or later.
fn unnoticed_until(exposure: &Exposure, age_ms: f64) -> f64 {
    let unnoticed_ms = (age_ms - exposure.survived_ms as f64).max(0.0);
    let later = |(mean_ms, share): (f64, f64)| {
        share * (-unnoticed_ms / (mean_ms + exposure.unobserved_ms as f64)).exp()
    };
    REPORT_LAGS.into_iter().map(later).sum()
}

/// Returns the probability that a task does not crash its worker within this time of its start, in
/// milliseconds.
fn survival(survived_ms: Span) -> Weights {
    let survived_ms = survived_ms as f64;
    let mut weights = [1.0; COUNT];
    let mut from_ms = 0.0;
    for (weight, (upper_ms, _)) in weights[INNOCENT + 1..].iter_mut().zip(AGES) {
        let left_ms = (upper_ms - survived_ms.max(from_ms)).max(0.0);
        *weight = (left_ms / (upper_ms - from_ms)).max(OUTLIVED);
        from_ms = upper_ms;
    }
    weights[ANY_AGE] = (-survived_ms * ANY_AGE_PER_MS).exp();
    Weights(weights)
}
