//! Ejection of failing endpoints, and their readmission.

use pond_proto::Micros;

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// Duration of the first ejection, in microseconds; doubled with each further one.
const FIRST_EJECTION_US: u64 = 1_000_000;

/// Maximum number of times the ejection duration is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive successes after which earlier ejections no longer count.
const SUCCESSES_TO_RESET: u32 = 50;

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It receives requests.
    Healthy,
    /// It receives no requests.
    Ejected,
    /// Its ejection is over. It receives one request at a time until one succeeds.
    Probation,
}

/// Health record of one endpoint: consecutive results and ejections.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    successes: u32,
    ejections: u32,
    ejected_until: Option<Micros>,
}

impl Health {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_RESET {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns true if the endpoint should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        // On probation a single failure suffices.
        self.failures >= FAILURES_TO_EJECT || self.ejected_until.is_some()
    }

    /// Ejects the endpoint from `now` on, for longer with each ejection.
    pub fn eject(&mut self, now: Micros) {
        let span = FIRST_EJECTION_US << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + span);
    }

    /// Returns whether the endpoint receives requests at `now`.
    pub fn status(&self, now: Micros) -> Status {
        match self.ejected_until {
            None => Status::Healthy,
            Some(until) if now < until => Status::Ejected,
            Some(_) => Status::Probation,
        }
    }
}
