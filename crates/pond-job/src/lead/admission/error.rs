//! Measured errors of forecasts. Jobs of at least the mean work of their queue are measured apart
//! from the others: narrow jobs that arrive later are placed before them.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::{Millis, Span};

/// How long a measured error counts, in milliseconds: several times the duration of a short job.
const MEMORY_MS: Span = 10_000;

/// Maximum number of errors per pool: a hundred ends per second.
const MAX_ERRORS: usize = 1_000;

/// Weight of a correct forecast, as a number of jobs. It is small compared with the jobs that end
/// in ten seconds.
const PRIOR_JOBS: f64 = 4.0;

/// Range of the correction. Errors of single tasks that take much longer than others are no errors
/// of the wait, so one job counts with at most as much.
const MIN_CORRECTION: f64 = 0.5;
const MAX_CORRECTION: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Measured {
    at: Millis,
    /// Forecast wait without correction, in milliseconds.
    wait_ms: f64,
    /// By how much the wait was longer, in milliseconds.
    error_ms: f64,
}

/// Errors of the forecasts of jobs that ended recently, by pool and by whether the job is wide.
#[derive(Clone, Debug, Default)]
pub struct Errors {
    kinds: BTreeMap<(String, bool), VecDeque<Measured>>,
}

/// Returns whether the error of a forecast is at least the largest that counts. It can then be
/// recorded before the job ends; otherwise the jobs that wait longest would be measured last.
pub fn is_largest(wait_ms: f64, actual_ms: f64) -> bool {
    wait_ms > 0.0 && actual_ms >= MAX_CORRECTION * wait_ms
}

impl Errors {
    /// Records the forecast wait of an ended job, without correction, and its actual wait, which is
    /// its duration beyond the critical path, in milliseconds.
    pub fn record(&mut self, now: Millis, pool: &str, wide: bool, wait_ms: f64, actual_ms: f64) {
        let error_ms = actual_ms.min(MAX_CORRECTION * wait_ms) - wait_ms;
        let measured = self.kinds.entry((pool.to_owned(), wide)).or_default();
        if measured.len() >= MAX_ERRORS {
            measured.pop_front();
        }
        measured.push_back(Measured { at: now, wait_ms, error_ms });
    }

    /// Returns the factor by which the wait of wide or of other jobs in a pool must be corrected.
    pub fn correction(&self, now: Millis, pool: &str, wide: bool) -> f64 {
        let measured = self.kinds.get(&(pool.to_owned(), wide)).into_iter().flatten();
        let recent = measured.filter(|measured| now.since(measured.at) < MEMORY_MS);
        let (mut jobs, mut wait, mut error) = (0.0, 0.0, 0.0);
        for measured in recent.filter(|measured| measured.wait_ms > 0.0) {
            jobs += 1.0;
            wait += measured.wait_ms;
            error += measured.error_ms;
        }
        if wait <= 0.0 {
            return 1.0;
        }
        let relative = error / wait * jobs / (jobs + PRIOR_JOBS);
        (1.0 + relative).clamp(MIN_CORRECTION, MAX_CORRECTION)
    }
}
