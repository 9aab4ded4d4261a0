//! An entry's state of one service: limits, waiting requests and retry budget.

use std::collections::VecDeque;

use pond_proto::Micros;
use pond_proto::view;
use pond_proto::wire::RequestId;

use crate::budget::Budget;
use crate::latency::Latency;
use crate::limit::{Bucket, Throughput};

/// Number of requests that may always wait, however low the throughput is.
const MIN_WAITING: usize = 2;

/// Minimum wait that the queue is sized for, in microseconds.
const MIN_WAIT_US: f64 = 2_000.0;

/// Wait that the queue is sized for, as a multiple of the service time.
const WAIT_FACTOR: f64 = 1.0;

/// How long the queue may be too long before the service counts as overloaded, in microseconds.
const OVERLOAD_DELAY_US: u64 = 100_000;

/// How long a service counts as overloaded after the last refusal, in microseconds.
const SHED_HOLD_US: u64 = 1_000_000;

/// Weight of a new sample in the moving average of the service time.
const WEIGHT: f64 = 0.05;

/// A service as seen by one entry.
#[derive(Debug)]
pub struct Service {
    /// Maximum number of requests in progress.
    pub concurrency: u32,
    /// Priority; services with low priority are shed first.
    pub priority: i32,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Requests that wait for an endpoint, oldest first.
    pub waiting: VecDeque<RequestId>,
    /// Budget for retries and hedged requests.
    pub budget: Budget,
    /// Latencies of answered requests.
    pub latency: Latency,
    /// Whether the configuration contains the service.
    pub configured: bool,
    rate_limit: Option<Bucket>,
    throughput: Throughput,
    service_us: f64,
    /// Time since which the queue is too long.
    overloaded_since: Option<Micros>,
    /// Time until which the service counts as overloaded, so that bursts are not queued.
    shed_until: Micros,
}

impl Service {
    /// Creates a service that the configuration does not contain yet.
    pub fn new(retry_share: f64) -> Service {
        Service {
            concurrency: 0,
            priority: 0,
            in_progress: 0,
            waiting: VecDeque::new(),
            budget: Budget::new(retry_share),
            latency: Latency::default(),
            configured: false,
            rate_limit: None,
            throughput: Throughput::default(),
            service_us: 0.0,
            overloaded_since: None,
            shed_until: Micros(0),
        }
    }

    /// Applies the service's entry in the configuration.
    pub fn configure(&mut self, now: Micros, update: &view::Service) {
        self.concurrency = update.concurrency;
        self.priority = update.priority;
        self.configured = true;
        let unchanged =
            self.rate_limit.as_ref().is_some_and(|rate| rate.per_second() == update.rate);
        if !unchanged {
            self.rate_limit = (update.rate > 0).then(|| Bucket::new(update.rate, now));
        }
    }

    /// Returns whether the rate limit allows one more request, and counts it if so.
    pub fn within_rate(&mut self, now: Micros) -> bool {
        self.rate_limit.as_mut().is_none_or(|rate| rate.take(now))
    }

    /// Records an answer whose request spent `service_us` in a slot.
    pub fn record_answer(&mut self, now: Micros, service_us: u32) {
        self.throughput.record(now);
        self.service_us += WEIGHT * (f64::from(service_us) - self.service_us);
    }

    /// Returns whether a request that arrives now is refused because the service is overloaded.
    ///
    /// A burst may queue. Once the queue has been too long for [`OVERLOAD_DELAY_US`], it is limited to
    /// the number of requests that complete in about one service time. The tail latency of admitted
    /// requests stays low, and the rest is refused at once.
    pub fn sheds_load(&mut self, now: Micros) -> bool {
        let wait_us = (self.service_us * WAIT_FACTOR).max(MIN_WAIT_US);
        let completing = (self.throughput.per_second() * wait_us / 1e6) as usize;
        if self.waiting.len() < completing.max(MIN_WAITING) {
            self.overloaded_since = None;
            return false;
        }
        let since = *self.overloaded_since.get_or_insert(now);
        if now < self.shed_until || now.since(since) >= OVERLOAD_DELAY_US {
            self.shed_until = now + SHED_HOLD_US;
            return true;
        }
        false
    }
}
