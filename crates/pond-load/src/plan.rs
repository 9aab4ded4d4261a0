//! Description of a load: requests, rate and target.

use std::time::Duration;

/// Recipient of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Entries, round-robin.
    Entries(Vec<String>),
    /// An endpoint directly, over persistent connections, for comparison.
    Endpoint(String),
}

/// A load to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Recipient of the requests.
    pub target: Target,
    /// Requested services, round-robin.
    pub services: Vec<String>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Share of repeatable requests, from 0 to 1.
    pub repeatable: f64,
    /// Share of requests with an idempotency key among the others, from 0 to 1.
    pub keyed: f64,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum body size, in bytes; a longer first line extends the body.
    pub body_bytes: usize,
    /// Random seed of arrival times and request kinds.
    pub seed: u64,
    /// Prefix of the first line of every body, which distinguishes loads in a record.
    pub name: String,
}

impl Plan {
    /// Creates a load of repeatable requests for one service.
    pub fn new(target: Target, service: &str, rate: f64, duration: Duration) -> Plan {
        Plan {
            target,
            services: vec![service.to_owned()],
            rate,
            duration,
            repeatable: 1.0,
            keyed: 0.0,
            deadline_ms: 10_000,
            body_bytes: 64,
            seed: 1,
            name: format!("load-{:08x}", rand::random::<u32>()),
        }
    }

    /// Sets the share of repeatable requests, and of requests with a key among the others.
    pub fn with_shares(mut self, repeatable: f64, keyed: f64) -> Plan {
        (self.repeatable, self.keyed) = (repeatable, keyed);
        self
    }

    /// Sets the deadline of each request, in milliseconds.
    pub fn with_deadline_ms(mut self, ms: u64) -> Plan {
        self.deadline_ms = ms;
        self
    }
}
