//! Ejection of endpoints by evidence, and their way back.

use pond_proto::Micros;

/// Failures in a row after which an endpoint is ejected.
const FAILURES: u32 = 5;

/// How long the first ejection lasts, in microseconds; doubled with each that follows.
const EJECTED_US: u64 = 1_000_000;

/// How often the time is doubled at most.
const DOUBLINGS: u32 = 5;

/// Successes in a row after which earlier ejections are forgotten.
const SUCCESSES: u32 = 50;

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets requests.
    Well,
    /// It gets none.
    Ejected,
    /// It gets one request at a time to show that it is well.
    Probation,
}

/// The evidence on one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    successes: u32,
    ejections: u32,
    until: Option<Micros>,
}

impl Health {
    /// It answered well.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.until = None;
        self.successes += 1;
        if self.successes >= SUCCESSES {
            self.ejections = 0;
        }
    }

    /// It failed; true if the evidence speaks for ejection.
    pub fn fail(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        // One on probation has no credit left.
        self.failures >= FAILURES || self.until.is_some()
    }

    /// Ejects it for a while.
    pub fn eject(&mut self, now: Micros) {
        let span = EJECTED_US << self.ejections.min(DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.until = Some(now + span);
    }

    /// Whether it gets requests now.
    pub fn standing(&self, now: Micros) -> Standing {
        match self.until {
            None => Standing::Well,
            Some(until) if now < until => Standing::Ejected,
            Some(_) => Standing::Probation,
        }
    }
}
