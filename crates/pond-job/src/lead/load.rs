//! Load of a single serving run, which fluctuates.

use pond_proto::{Millis, Span};

/// Typical load, as a utilization. A serving task requests its peak and uses about half of it.
const MEAN_LOAD: f64 = 0.45;

/// Variance of loads around the typical one: they fluctuate by half.
const LOAD_VARIANCE: f64 = 0.025;

/// A load that was not measured for this long may have any typical value, in milliseconds. Loads
/// fluctuate within some ten seconds.
const LOAD_MEMORY_MS: Span = 3_000;

/// Maximum load that is attributed to the task itself: two standard deviations above the typical
/// one. Anything beyond is interference.
const MAX_LOAD: f64 = 0.75;

/// Estimated load of a serving run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    mean: f64,
    variance: f64,
    at: Millis,
}

impl Load {
    /// Creates an estimate without measurements.
    pub fn new(now: Millis) -> Load {
        Load { mean: MEAN_LOAD, variance: LOAD_VARIANCE, at: now }
    }

    /// Returns the expected load and its variance at a time after the last measurement.
    pub fn at(&self, now: Millis) -> (f64, f64) {
        let age = now.since(self.at).min(LOAD_MEMORY_MS) as f64 / LOAD_MEMORY_MS as f64;
        let mean = self.mean + (MEAN_LOAD - self.mean) * age * age;
        (mean, self.variance + (LOAD_VARIANCE - self.variance).max(0.0) * age)
    }

    /// Updates the estimate with the difference between measured and expected utilization, and its
    /// variance.
    pub fn learn(&mut self, now: Millis, error: f64, variance: f64) {
        let (mean, prior) = self.at(now);
        let gain = prior / variance;
        *self = Load {
            mean: (mean + gain * error).clamp(0.0, MAX_LOAD),
            variance: prior * (1.0 - gain),
            at: now,
        };
    }
}
