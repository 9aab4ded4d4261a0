//! The load of one serving run, which swings by itself.

use pond_proto::{Millis, Span};

/// The usual load, as a pressure; what serves asks for its peak and uses about half of it.
const MEAN_LOAD: f64 = 0.45;

/// The variance of loads about the usual one: they swing by half.
const LOAD_VARIANCE: f64 = 0.025;

/// A load that was not measured for this long may be anything usual, in milliseconds: loads swing
/// within some ten seconds.
const LOAD_MEMORY_MS: Span = 3_000;

/// Loads are believed up to this: two deviations above the usual one. What is beyond is harm.
const MAX_LOAD: f64 = 0.75;

/// What is known of the load of a serving run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    mean: f64,
    variance: f64,
    at: Millis,
}

impl Load {
    /// Nothing was measured.
    pub fn new(now: Millis) -> Load {
        Load { mean: MEAN_LOAD, variance: LOAD_VARIANCE, at: now }
    }

    /// The load and its variance as they are expected some time after the last measurement.
    pub fn at(&self, now: Millis) -> (f64, f64) {
        let age = now.since(self.at).min(LOAD_MEMORY_MS) as f64 / LOAD_MEMORY_MS as f64;
        let mean = self.mean + (MEAN_LOAD - self.mean) * age * age;
        (mean, self.variance + (LOAD_VARIANCE - self.variance).max(0.0) * age)
    }

    /// Takes in by how much a pressure was above what was expected, with the variance of that.
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
