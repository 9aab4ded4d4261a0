//! What is asked, how often, and of whom.

use std::time::Duration;

/// Whom requests go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Entries, in turn.
    Entries(Vec<String>),
    /// An endpoint itself, over kept connections, for comparison.
    Endpoint(String),
}

/// A load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whom.
    pub target: Target,
    /// Services, asked in turn.
    pub services: Vec<String>,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub time: Duration,
    /// Share of requests that are repeatable.
    pub repeatable: f64,
    /// Share of the others that carry an idempotency key.
    pub keyed: f64,
    /// Deadline of each, in milliseconds.
    pub deadline_ms: u64,
    /// Bytes of each body, at least enough for its first line.
    pub body_bytes: usize,
    /// Seed of arrivals and kinds.
    pub seed: u64,
    /// First part of every first line, so that runs can be told apart in a record.
    pub name: String,
}

impl Plan {
    /// A load of repeatable requests for one service.
    pub fn new(target: Target, service: &str, rate: f64, time: Duration) -> Plan {
        Plan {
            target,
            services: vec![service.to_owned()],
            rate,
            time,
            repeatable: 1.0,
            keyed: 0.0,
            deadline_ms: 10_000,
            body_bytes: 64,
            seed: 1,
            name: format!("load-{:08x}", rand::random::<u32>()),
        }
    }

    /// With shares of repeatable requests, and of keys among the others.
    pub fn with_shares(mut self, repeatable: f64, keyed: f64) -> Plan {
        (self.repeatable, self.keyed) = (repeatable, keyed);
        self
    }

    /// With another deadline.
    pub fn with_deadline_ms(mut self, ms: u64) -> Plan {
        self.deadline_ms = ms;
        self
    }
}
