//! Offered load of the queues: the processors that their arriving jobs request, rejected jobs
//! included.

use std::collections::BTreeMap;

use pond_proto::job::Step;
use pond_proto::{Millis, Span};

use super::Leader;
use crate::configuration::QueueKey;
use crate::job::Job;
use crate::queue_map::QueueMap;
use crate::state::State;

/// Time constant of the mean, in milliseconds. Bursts and waves of arrivals last for several
/// seconds; single jobs differ by a factor of ten.
const WINDOW_MS: Span = 3_000;

/// Longest time for which a task counts, in milliseconds. Owners' estimates have no upper limit, and a
/// task of a short queue that runs for longer is none that others wait for.
const MAX_TASK_MS: Span = 10_000;

/// Work that arrived recently, decayed to the time of the last arrival.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    work: f64,
    at: Millis,
}

impl Arrivals {
    /// Returns the work that still counts at a later time.
    fn at(&self, now: Millis) -> f64 {
        self.work * (-(now.since(self.at) as f64) / WINDOW_MS as f64).exp()
    }
}

/// Offered load by queue.
#[derive(Debug, Default)]
pub(super) struct Demand {
    queues: QueueMap<Arrivals>,
}

impl Demand {
    /// Records the arrival of a job with these steps, whose tasks are expected to take the given
    /// times, in milliseconds.
    pub fn record(
        &mut self,
        now: Millis,
        queue: QueueKey<'_>,
        steps: &[Step],
        takes_ms: impl Fn(&Step) -> Span,
    ) {
        let of_step = |step: &Step| {
            let milli_cpu = f64::from(step.tasks) * f64::from(step.milli_cpu);
            milli_cpu * takes_ms(step).min(MAX_TASK_MS) as f64
        };
        let work: f64 = steps.iter().map(of_step).sum();
        let before = self.queues.get(queue).map_or(0.0, |arrivals| arrivals.at(now));
        self.queues.insert(queue, Arrivals { work: before + work, at: now });
    }

    /// Returns the offered load of a queue, in thousandths of a processor.
    pub fn milli_cpu(&self, now: Millis, queue: QueueKey<'_>) -> f64 {
        self.queues.get(queue).map_or(0.0, |arrivals| arrivals.at(now) / WINDOW_MS as f64)
    }
}

impl Leader {
    /// Returns the overloaded pools, each with the first priority from which on the offered load
    /// exceeds the processors that no long-running task reserves. Until the first plan the latter
    /// are not known.
    pub(super) fn overloaded_pools(&self, state: &State, now: Millis) -> BTreeMap<String, u32> {
        let queues = state.configuration().into_iter().flat_map(|held| &held.queues);
        let mut offered: BTreeMap<(&str, u32), f64> = BTreeMap::new();
        for queue in queues {
            let key = (queue.pool.as_str(), queue.priority);
            *offered.entry(key).or_default() += self.demand.milli_cpu(now, queue.key());
        }
        let mut overloaded = BTreeMap::new();
        let mut sum = ("", 0.0);
        for ((pool, priority), load) in offered {
            sum = if sum.0 == pool { (pool, sum.1 + load) } else { (pool, load) };
            let room = self.cache.room_milli_cpu(pool) as f64;
            if room > 0.0 && sum.1 > room {
                overloaded.entry(pool.to_owned()).or_insert(priority);
            }
        }
        overloaded
    }

    /// Records the offered load of an arrived job. Jobs with long-running or best-effort tasks
    /// reserve no processors that they return soon, and repeated jobs arrive when they are due. The
    /// load of a job that was rejected before is recorded already.
    pub(super) fn record_demand(&mut self, now: Millis, id: u64, job: &Job) {
        if job.is_short() && !self.admissions.was_rejected(now, id) {
            let takes_ms = |step: &Step| self.durations.expected_ms(job.queue_key(), step);
            self.demand.record(now, job.queue_key(), &job.spec.steps, takes_ms);
        }
    }
}
