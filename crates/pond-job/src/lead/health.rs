//! Health of workers, judged by the ends of their runs.

use std::collections::BTreeSet;

use pond_proto::{Millis, Span};

/// Number of jobs that must fail on a worker, without a success in between, before its backoff. A
/// single job may fail through its own fault.
const MIN_FAILED_JOBS: usize = 2;

/// Failures further apart than this are not counted together, in milliseconds.
const FAILURE_WINDOW_MS: Span = 6_000;

/// Duration of the first backoff, in milliseconds; each further one is twice as long.
const FIRST_BACKOFF_MS: Span = 2_000;

/// Duration of the longest backoff, in milliseconds.
const MAX_BACKOFF_MS: Span = 8_000;

/// Health of a worker.
#[derive(Debug, Default)]
pub struct Health {
    failed_jobs: BTreeSet<u64>,
    /// Jobs whose failures led to the backoffs since the last success.
    blamed_jobs: BTreeSet<u64>,
    last_failure: Millis,
    backoff_ms: Span,
    backoff_until: Millis,
    probing: bool,
}

impl Health {
    /// Records a successful run.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.blamed_jobs.clear();
        self.backoff_ms = 0;
        self.probing = false;
    }

    /// Records that a run of that job failed, stalled or did not start.
    pub fn record_failure(&mut self, now: Millis, job: u64) {
        if now.since(self.last_failure) > FAILURE_WINDOW_MS {
            self.failed_jobs.clear();
        }
        self.last_failure = now;
        self.failed_jobs.insert(job);
    }

    /// Starts a backoff if the worker appears unhealthy. Returns its duration in milliseconds if it
    /// is new.
    pub fn back_off(&mut self, now: Millis) -> Option<Span> {
        let unhealthy = self.failed_jobs.len() >= MIN_FAILED_JOBS
            || (self.probing && !self.failed_jobs.is_empty());
        if !unhealthy || now < self.backoff_until {
            return None;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_until = now + self.backoff_ms;
        self.blamed_jobs.append(&mut self.failed_jobs);
        self.probing = true;
        Some(self.backoff_ms)
    }

    /// Returns whether the worker appears unhealthy only because of jobs that would fail on any
    /// worker, or of `job` itself.
    pub fn is_explained(&self, job: u64, faulty: impl Fn(u64) -> bool) -> bool {
        self.blamed_jobs.iter().all(|blamed| *blamed == job || faulty(*blamed))
    }

    /// Returns whether the worker gets no work.
    pub fn in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns how many more runs that end by themselves the worker may be given if it has
    /// `finite_runs` of them. After a backoff it is probed with one at a time until one succeeds.
    pub fn allowed_runs(&self, now: Millis, finite_runs: usize) -> usize {
        if self.in_backoff(now) {
            return 0;
        }
        if self.probing { 1usize.saturating_sub(finite_runs) } else { usize::MAX }
    }
}
