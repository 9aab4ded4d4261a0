//! One service at an entry: its limit, its waiting requests, its retry budget.

use std::collections::VecDeque;

use pond_proto::wire::RequestId;

use crate::budget::Budget;
use crate::latency::Latency;

/// One service.
#[derive(Debug)]
pub struct Service {
    /// Requests that may be under way.
    pub concurrency: u32,
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
}

impl Service {
    /// A service with a limit.
    pub fn new(concurrency: u32, retry_share: f64) -> Service {
        Service {
            concurrency,
            under_way: 0,
            waiting: VecDeque::new(),
            budget: Budget::new(retry_share),
            latency: Latency::default(),
            known: true,
        }
    }
}
