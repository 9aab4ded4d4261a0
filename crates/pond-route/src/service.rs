//! One service at an entry: its limits, its waiting requests, its retry budget.

use std::collections::VecDeque;

use pond_proto::Micros;
use pond_proto::view;
use pond_proto::wire::RequestId;

use crate::budget::Budget;
use crate::latency::Latency;
use crate::limit::{Bucket, Drain};

/// Requests that may wait however slowly they drain.
const LEAST_WAITING: usize = 2;

/// The shortest wait that the queue is sized for, in microseconds.
const LEAST_WAIT_US: f64 = 2_000.0;

/// The wait that the queue is sized for, in times of the time in a slot.
const WAIT_TIMES: f64 = 1.0;

/// How long too many may wait before the service counts as overloaded, in microseconds.
const PATIENCE_US: u64 = 100_000;

/// How long an overload counts after the last refusal, in microseconds.
const SHED_US: u64 = 1_000_000;

/// Weight of a new sample of the time in a slot.
const WEIGHT: f64 = 0.05;

/// One service.
#[derive(Debug)]
pub struct Service {
    /// Requests that may be under way.
    pub concurrency: u32,
    /// Its priority; low ones are shed first.
    pub priority: i32,
    /// Requests under way.
    pub under_way: u32,
    /// Requests that wait for an endpoint, oldest first.
    pub waiting: VecDeque<RequestId>,
    /// What may be sent once more.
    pub budget: Budget,
    /// Latencies of answers.
    pub latency: Latency,
    /// Whether the view names it.
    pub known: bool,
    rate: Option<Bucket>,
    drain: Drain,
    service_us: f64,
    /// Since when too many wait.
    over_since: Option<Micros>,
    /// Until when no burst may wait.
    shed_until: Micros,
}

impl Service {
    /// A service that is not known yet.
    pub fn new(retry_share: f64) -> Service {
        Service {
            concurrency: 0,
            priority: 0,
            under_way: 0,
            waiting: VecDeque::new(),
            budget: Budget::new(retry_share),
            latency: Latency::default(),
            known: false,
            rate: None,
            drain: Drain::default(),
            service_us: 0.0,
            over_since: None,
            shed_until: Micros(0),
        }
    }

    /// Takes in what the view says of it.
    pub fn put(&mut self, now: Micros, told: &view::Service) {
        self.concurrency = told.concurrency;
        self.priority = told.priority;
        self.known = true;
        let unchanged = self.rate.as_ref().is_some_and(|rate| rate.per_second() == told.rate);
        if !unchanged {
            self.rate = (told.rate > 0).then(|| Bucket::new(told.rate, now));
        }
    }

    /// Whether its rate allows one more request; it is then counted.
    pub fn within_rate(&mut self, now: Micros) -> bool {
        self.rate.as_mut().is_none_or(|rate| rate.take(now))
    }

    /// Takes in that an answer came after that time in a slot.
    pub fn answered(&mut self, now: Micros, service_us: u32) {
        self.drain.count(now);
        self.service_us += WEIGHT * (f64::from(service_us) - self.service_us);
    }

    /// Whether a request that comes now is refused as the service is overloaded.
    ///
    /// A burst may wait. Once more have waited for a while than will get a slot soon, only so many
    /// may wait as drain in about the time in a slot, so that the tail of what is admitted stays
    /// short and the rest is refused at once.
    pub fn sheds(&mut self, now: Micros) -> bool {
        let wait_us = (self.service_us * WAIT_TIMES).max(LEAST_WAIT_US);
        let drained = (self.drain.per_second() * wait_us / 1e6) as usize;
        if self.waiting.len() < drained.max(LEAST_WAITING) {
            self.over_since = None;
            return false;
        }
        let since = *self.over_since.get_or_insert(now);
        if now < self.shed_until || now.since(since) >= PATIENCE_US {
            self.shed_until = now + SHED_US;
            return true;
        }
        false
    }
}
