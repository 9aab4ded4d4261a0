//! Estimates of how much batch work of one kind slows down services of another kind.
//!
//! The model: a service's 99th percentile latency is its undisturbed latency times one plus the
//! sum, over the batch tasks on its VM, of a coefficient times the share of processors that the
//! task may use. Each coefficient is an estimate with a variance. A delayed measurement updates
//! the coefficients of all tasks that ran when it was taken, each in proportion to its share of
//! the uncertainty. Variances grow with each measurement, so that old evidence loses weight as
//! programs change. A pair that was never observed starts from the estimate for the batch kind, or
//! else for all batch work.

use std::collections::HashMap;

use crate::kind::Kind;

/// Variance of a coefficient without observations, and the upper limit of every variance.
const INITIAL_VARIANCE: f64 = 0.25;

/// Coefficient assumed for batch work without observations.
const INITIAL_MEAN: f64 = 0.15;

/// Variance of one measurement, relative to the undisturbed latency.
const MEASUREMENT_VARIANCE: f64 = 0.02;

/// Amount by which each measurement increases the variance of a coefficient.
const VARIANCE_GROWTH: f64 = 0.0002;

/// Weight of a pair's new mean in the estimate for its batch kind; its square is the weight in the
/// estimate for all batch work.
const PRIOR_WEIGHT: f64 = 0.1;

/// Shares of the highest observed request rate at which the next load level begins.
const LOAD_LEVELS: [f64; 2] = [0.5, 0.8];

/// Share by which the highest observed rate decays with each measurement.
const PEAK_DECAY: f64 = 0.0005;

/// The estimate of one coefficient.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Its mean.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

/// A batch task that ran on the same VM as a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Colocated {
    /// Its kind.
    pub kind: Kind,
    /// Its share of processors, from 0 to 1.
    pub share: f64,
}

/// A kind of service at a load level, as the one that suffers interference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Victim {
    /// The service's kind.
    pub kind: Kind,
    /// Its load level: 0 is low, 1 medium and 2 high.
    pub level: u8,
}

/// The coefficients of all pairs of service and batch kinds.
#[derive(Debug)]
pub struct Interference {
    pairs: HashMap<(Victim, Kind), Estimate>,
    kinds: HashMap<Kind, f64>,
    all: f64,
    baselines: HashMap<Victim, f64>,
    /// The highest observed rate of each service kind, and its current load level.
    loads: HashMap<Kind, (f64, u8)>,
    learning: bool,
}

impl Default for Interference {
    fn default() -> Interference {
        Interference::new(true)
    }
}

impl Interference {
    /// Creates a model without observations. Without `learning` the coefficients never change;
    /// benchmarks use this for comparison.
    pub fn new(learning: bool) -> Interference {
        Interference {
            pairs: HashMap::new(),
            kinds: HashMap::new(),
            all: INITIAL_MEAN,
            baselines: HashMap::new(),
            loads: HashMap::new(),
            learning,
        }
    }

    /// Records the request rate of one task of a service and returns the service with its load
    /// level.
    pub fn record_rate(&mut self, kind: Kind, rate: Option<f64>) -> Victim {
        let Some(rate) = rate else { return self.victim(kind) };
        let (peak, level) = self.loads.entry(kind).or_insert((rate, 0));
        *peak = (*peak * (1.0 - PEAK_DECAY)).max(rate);
        let share = rate / peak.max(1e-9);
        *level = LOAD_LEVELS.iter().filter(|begins| share >= **begins).count() as u8;
        Victim { kind, level: *level }
    }

    /// Returns a service with the load level that was last measured.
    pub fn victim(&self, kind: Kind) -> Victim {
        let level = self.loads.get(&kind).map_or(0, |(_, level)| *level);
        Victim { kind, level }
    }

    /// Returns the estimate for a pair.
    pub fn estimate(&self, victim: Victim, batch: Kind) -> Estimate {
        if let Some(estimate) = self.pairs.get(&(victim, batch)) {
            return *estimate;
        }
        let mean = self.kinds.get(&batch).copied().unwrap_or(self.all);
        Estimate { mean, variance: INITIAL_VARIANCE }
    }

    /// Returns the undisturbed 99th percentile latency of a service, in microseconds, if known.
    pub fn baseline(&self, victim: Victim) -> Option<f64> {
        self.baselines.get(&victim).copied()
    }

    /// Returns the factor by which a service is expected to slow down next to batch tasks.
    pub fn slowdown(&self, victim: Victim, colocated: &[Colocated]) -> f64 {
        let added: f64 =
            colocated.iter().map(|task| self.estimate(victim, task.kind).mean * task.share).sum();
        1.0 + added.max(0.0)
    }

    /// Updates the estimates with a measured 99th percentile, in microseconds, and the batch tasks
    /// that ran next to the service when it was taken.
    pub fn record(&mut self, victim: Victim, p99_us: f64, colocated: &[Colocated]) {
        let expected = self.slowdown(victim, colocated);
        self.update_baseline(victim, p99_us / expected, colocated.is_empty());
        if !self.learning || colocated.is_empty() {
            return;
        }
        let Some(baseline) = self.baseline(victim) else { return };
        let estimates: Vec<Estimate> =
            colocated.iter().map(|task| self.estimate(victim, task.kind)).collect();
        let uncertainty =
            |(task, estimate): (&Colocated, &Estimate)| estimate.variance * task.share * task.share;
        let total_variance: f64 =
            colocated.iter().zip(&estimates).map(uncertainty).sum::<f64>() + MEASUREMENT_VARIANCE;
        let error = p99_us / baseline - expected;
        for (task, estimate) in colocated.iter().zip(&estimates) {
            let gain = estimate.variance * task.share / total_variance;
            let mean = (estimate.mean + gain * error).max(0.0);
            let variance = (1.0 - gain * task.share) * estimate.variance + VARIANCE_GROWTH;
            let updated = Estimate { mean, variance: variance.min(INITIAL_VARIANCE) };
            self.pairs.insert((victim, task.kind), updated);
            self.update_priors(task.kind, mean);
        }
    }

    /// Updates the baseline. Measurements without batch work nearby (`undisturbed`) have the
    /// largest weight; others lower the baseline quickly but raise it only slowly.
    fn update_baseline(&mut self, victim: Victim, sample: f64, undisturbed: bool) {
        let baseline = self.baselines.entry(victim).or_insert(sample);
        let weight = match (undisturbed, sample < *baseline) {
            (true, _) => 0.2,
            (false, true) => 0.1,
            (false, false) => 0.005,
        };
        *baseline += weight * (sample - *baseline);
    }

    fn update_priors(&mut self, kind: Kind, mean: f64) {
        let all = self.all;
        let updated = self.kinds.entry(kind).or_insert(all);
        *updated += PRIOR_WEIGHT * (mean - *updated);
        self.all += PRIOR_WEIGHT * PRIOR_WEIGHT * (mean - self.all);
    }
}
