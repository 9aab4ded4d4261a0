//! Judges from the ends of runs whether a worker is sound.

use std::collections::BTreeSet;

use pond_proto::{Millis, Span};

/// Jobs that must fail on a worker, with nothing done between, before it rests: one job alone may
/// fail through its own fault.
const MIN_FAILED_JOBS: usize = 2;

/// Failures further apart than this are not taken together, in milliseconds.
const FAILURE_WINDOW_MS: Span = 6_000;

/// The first rest, in milliseconds; each further one is twice as long.
const FIRST_BACKOFF_MS: Span = 2_000;

/// The longest rest, in milliseconds.
const MAX_BACKOFF_MS: Span = 8_000;

/// How sound a worker is.
#[derive(Debug, Default)]
pub struct Health {
    failed_jobs: BTreeSet<u64>,
    last_failure: Millis,
    backoff_ms: Span,
    backoff_until: Millis,
    probing: bool,
}

impl Health {
    /// A run was done.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.backoff_ms = 0;
        self.probing = false;
    }

    /// A run of that job failed, stalled or did not start.
    pub fn record_failure(&mut self, now: Millis, job: u64) {
        if now.since(self.last_failure) > FAILURE_WINDOW_MS {
            self.failed_jobs.clear();
        }
        self.last_failure = now;
        self.failed_jobs.insert(job);
    }

    /// Lets the worker rest if it looks sick; for how long, if that is new.
    pub fn back_off(&mut self, now: Millis) -> Option<Span> {
        let unhealthy = self.failed_jobs.len() >= MIN_FAILED_JOBS
            || (self.probing && !self.failed_jobs.is_empty());
        if !unhealthy || now < self.backoff_until {
            return None;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_until = now + self.backoff_ms;
        self.failed_jobs.clear();
        self.probing = true;
        Some(self.backoff_ms)
    }

    /// Whether the worker gets nothing at all.
    pub fn in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// How many more runs the worker may be given, if it has `passing` runs that end by themselves:
    /// after a rest one at a time, until one is done.
    pub fn allowed_runs(&self, now: Millis, finite_runs: usize) -> usize {
        if self.in_backoff(now) {
            return 0;
        }
        if self.probing { 1usize.saturating_sub(finite_runs) } else { usize::MAX }
    }
}
