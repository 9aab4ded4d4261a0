//! How much batch work of one kind slows services of another kind.
//!
//! The model: a service's 99th percentile is its undisturbed one times 1 + the sum over the batch
//! tasks on its VM of a coefficient times the share of processors that the task may use. Each
//! coefficient is an estimate with a variance. A late measurement moves the coefficients of all
//! tasks that were there when it was taken, each by its part of the uncertainty; variances grow
//! slowly with time, so that old evidence fades as programs change. A pair that was never seen
//! starts from what is known of the batch kind, else of all batch work.

use std::collections::HashMap;

use crate::kind::Kind;

/// Variance of a coefficient of which nothing is known.
const FIRST_VARIANCE: f64 = 0.25;

/// Coefficient that is assumed of work of which nothing is known.
const FIRST_MEAN: f64 = 0.15;

/// Variance of one measurement, relative to the undisturbed latency.
const NOISE: f64 = 0.02;

/// Growth of a variance with each measurement.
const FADING: f64 = 0.0002;

/// Weight of a pair's change in what is known of its batch kind and of all batch work.
const PRIOR_WEIGHT: f64 = 0.1;

/// Shares of the highest rate seen at which the next load level begins.
const LEVELS: [f64; 2] = [0.5, 0.8];

/// How fast the highest rate seen is forgotten, with each measurement.
const PEAK_FADING: f64 = 0.0005;

/// One coefficient.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Its mean.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

/// One batch task that was beside a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beside {
    /// Its kind.
    pub kind: Kind,
    /// Its share of processors, from 0 to 1.
    pub share: f64,
}

/// A service kind at a load level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Victim {
    /// The service's kind.
    pub kind: Kind,
    /// Its load level: low, middling or high.
    pub level: u8,
}

/// All coefficients.
#[derive(Debug)]
pub struct Interference {
    pairs: HashMap<(Victim, Kind), Estimate>,
    kinds: HashMap<Kind, f64>,
    all: f64,
    baselines: HashMap<Victim, f64>,
    /// The highest rate seen of each service kind, and its load level now.
    loads: HashMap<Kind, (f64, u8)>,
    learns: bool,
}

impl Default for Interference {
    fn default() -> Interference {
        Interference::new(true)
    }
}

impl Interference {
    /// Nothing known yet; without `learns` nothing ever is, for comparison.
    pub fn new(learns: bool) -> Interference {
        Interference {
            pairs: HashMap::new(),
            kinds: HashMap::new(),
            all: FIRST_MEAN,
            baselines: HashMap::new(),
            loads: HashMap::new(),
            learns,
        }
    }

    /// Takes in the rate of one task of a service; the service at its load level.
    pub fn note_rate(&mut self, kind: Kind, rate: Option<f64>) -> Victim {
        let Some(rate) = rate else { return self.victim(kind) };
        let (peak, level) = self.loads.entry(kind).or_insert((rate, 0));
        *peak = (*peak * (1.0 - PEAK_FADING)).max(rate);
        let share = rate / peak.max(1e-9);
        *level = LEVELS.iter().filter(|begins| share >= **begins).count() as u8;
        Victim { kind, level: *level }
    }

    /// A service at the load level that was last measured.
    pub fn victim(&self, kind: Kind) -> Victim {
        let level = self.loads.get(&kind).map_or(0, |(_, level)| *level);
        Victim { kind, level }
    }

    /// What is believed of a pair.
    pub fn estimate(&self, victim: Victim, batch: Kind) -> Estimate {
        if let Some(estimate) = self.pairs.get(&(victim, batch)) {
            return *estimate;
        }
        let mean = self.kinds.get(&batch).copied().unwrap_or(self.all);
        Estimate { mean, variance: FIRST_VARIANCE }
    }

    /// The undisturbed 99th percentile of a service, in microseconds, if one was learned.
    pub fn baseline(&self, victim: Victim) -> Option<f64> {
        self.baselines.get(&victim).copied()
    }

    /// How many times slower a service is expected to be beside some batch tasks.
    pub fn slowdown(&self, victim: Victim, beside: &[Beside]) -> f64 {
        let harm: f64 =
            beside.iter().map(|task| self.estimate(victim, task.kind).mean * task.share).sum();
        1.0 + harm.max(0.0)
    }

    /// Takes in a measured 99th percentile with what was beside the service when it was taken.
    pub fn learn(&mut self, victim: Victim, p99_us: f64, beside: &[Beside]) {
        let expected = self.slowdown(victim, beside);
        self.learn_baseline(victim, p99_us / expected, beside.is_empty());
        if !self.learns || beside.is_empty() {
            return;
        }
        let Some(baseline) = self.baseline(victim) else { return };
        let estimates: Vec<Estimate> =
            beside.iter().map(|task| self.estimate(victim, task.kind)).collect();
        let uncertainty =
            |(task, estimate): (&Beside, &Estimate)| estimate.variance * task.share * task.share;
        let spread: f64 = beside.iter().zip(&estimates).map(uncertainty).sum::<f64>() + NOISE;
        let error = p99_us / baseline - expected;
        for (task, estimate) in beside.iter().zip(&estimates) {
            let gain = estimate.variance * task.share / spread;
            let mean = (estimate.mean + gain * error).max(0.0);
            let variance = (1.0 - gain * task.share) * estimate.variance + FADING;
            let known = Estimate { mean, variance: variance.min(FIRST_VARIANCE) };
            self.pairs.insert((victim, task.kind), known);
            self.learn_priors(task.kind, mean);
        }
    }

    /// A quiet measurement counts fully; others only pull the baseline down quickly, or up slowly.
    fn learn_baseline(&mut self, victim: Victim, sample: f64, quiet: bool) {
        let baseline = self.baselines.entry(victim).or_insert(sample);
        let weight = match (quiet, sample < *baseline) {
            (true, _) => 0.2,
            (false, true) => 0.1,
            (false, false) => 0.005,
        };
        *baseline += weight * (sample - *baseline);
    }

    fn learn_priors(&mut self, kind: Kind, mean: f64) {
        let all = self.all;
        let known = self.kinds.entry(kind).or_insert(all);
        *known += PRIOR_WEIGHT * (mean - *known);
        self.all += PRIOR_WEIGHT * PRIOR_WEIGHT * (mean - self.all);
    }
}
