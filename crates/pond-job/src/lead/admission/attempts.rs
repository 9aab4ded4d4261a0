//! First attempts of rejected jobs.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::{Millis, Span};

/// How long the first attempt of a rejected job is remembered, in milliseconds. Jobs of the short
/// queues are worthless before.
const MEMORY_MS: Span = 10_000;

/// Maximum number of remembered jobs: those of ten seconds at a thousand rejections per second, in
/// about a megabyte.
const MAX_JOBS: usize = 10_000;

/// First attempts of rejected jobs.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Times on the operators' clock, by job.
    first: BTreeMap<u64, Millis>,
    /// Jobs with the times of their first rejections, oldest first.
    order: VecDeque<(Millis, u64)>,
}

impl Attempts {
    /// Records the rejection of a job. Returns whether it is the first one.
    pub fn record(&mut self, now: Millis, wall: Millis, id: u64) -> bool {
        self.forget(now);
        if self.first.contains_key(&id) {
            return false;
        }
        if self.order.len() >= MAX_JOBS
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.first.remove(&oldest);
        }
        self.first.insert(id, wall);
        self.order.push_back((now, id));
        true
    }

    /// Returns when a job was first rejected, on the operators' clock; `None` if it was not.
    pub fn first(&mut self, now: Millis, id: u64) -> Option<Millis> {
        self.forget(now);
        self.first.get(&id).copied()
    }

    fn forget(&mut self, now: Millis) {
        while let Some((_, id)) = self.order.pop_front_if(|(at, _)| now.since(*at) >= MEMORY_MS) {
            self.first.remove(&id);
        }
    }
}
