//! Shares of short and long-running tasks in a pool.
//!
//! Decides, from the offered load of short queues and from what is placed and pending, which
//! long-running tasks may be placed: short tasks must end within seconds and cannot wait for tasks
//! that stay for minutes. Long-running tasks are not stopped for this, so only new placements and
//! reservations are limited. A task that the platform's rule entitles to a place gets it, see
//! [`Vacancies`].

mod entitlement;
mod vacancy;

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

use super::candidate::Candidate;
use super::output::ShareFigures;
use super::ready::Group;
use super::{Leader, Output};
use crate::job::{Job, Task};
use crate::state::State;

use entitlement::entitlement;

pub(super) use entitlement::Asked;
pub(super) use vacancy::{Vacancies, is_vacant};

/// A leader has seen enough arrivals to know the offered load after this time, in milliseconds.
/// Until then, the short tasks that its predecessor placed show it.
const DEMAND_KNOWN_MS: Span = 5_000;

/// Interval between updates of the metrics, in milliseconds.
const REPORT_INTERVAL_MS: Span = 1_000;

/// Shares of one pool at one priority, in thousandths of a processor.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Processors that no long-running task occupies.
    remaining: f64,
    /// Processors of these that are reserved for long-running tasks that fit nowhere yet.
    reserved: f64,
    /// Processors that short tasks are entitled to.
    entitlement: f64,
}

impl Share {
    /// Returns whether short tasks keep what they are entitled to if long-running tasks take that
    /// much.
    fn admits(&self, milli_cpu: f64) -> bool {
        self.entitlement <= 0.0 || self.remaining - milli_cpu >= self.entitlement
    }
}

/// Shares of all pools while a plan is made, by pool and priority of the long-running tasks.
#[derive(Debug, Default)]
pub(super) struct Shares {
    shares: BTreeMap<(String, u32), Share>,
}

impl Shares {
    /// Returns whether that many tasks of a group can be placed or get reservations, so that short
    /// tasks keep what they are entitled to.
    pub fn admits(&self, group: &Group<'_>, tasks: usize) -> bool {
        let share = self.share(group);
        share.is_none_or(|share| share.admits(share.reserved + milli_cpu(group) * tasks as f64))
    }

    /// Returns whether that many tasks of a group can be placed, in spite of reservations.
    pub fn admits_over_reservations(&self, group: &Group<'_>, tasks: usize) -> bool {
        self.share(group).is_none_or(|share| share.admits(milli_cpu(group) * tasks as f64))
    }

    /// Records that a task of a group was placed.
    pub fn take(&mut self, group: &Group<'_>) {
        self.update(group, |share| share.remaining -= milli_cpu(group));
    }

    /// Records that capacity was reserved for a task of a group.
    pub fn reserve(&mut self, group: &Group<'_>) {
        self.update(group, |share| share.reserved += milli_cpu(group));
    }

    fn share(&self, group: &Group<'_>) -> Option<&Share> {
        let key = (group.job.pool.clone(), group.job.priority);
        self.shares.get(&key).filter(|_| group.step.long_running)
    }

    fn update(&mut self, group: &Group<'_>, change: impl Fn(&mut Share)) {
        let of_pool = |(pool, _): &(String, u32)| *pool == group.job.pool;
        let shares = self.shares.iter_mut().filter(|(key, _)| of_pool(key));
        shares.filter(|_| group.step.long_running).for_each(|(_, share)| change(share));
    }

    /// Returns the figures of all pools for the metrics.
    pub fn figures(&self) -> impl Iterator<Item = ShareFigures> {
        self.shares.iter().map(|((pool, _), share)| ShareFigures {
            pool: pool.clone(),
            remaining_milli_cpu: share.remaining.max(0.0) as u64,
            entitled_milli_cpu: share.entitlement as u64,
        })
    }
}

impl Leader {
    /// Returns the shares of the pools for which long-running tasks are ready.
    pub(super) fn shares(
        &mut self,
        state: &State,
        now: Millis,
        ready: &[Group<'_>],
        candidates: &[Candidate],
    ) -> Shares {
        let mut pending: BTreeMap<(String, u32), f64> = BTreeMap::new();
        for group in ready.iter().filter(|group| group.step.long_running) {
            let tasks = group.tasks().iter().filter(|task: &&Task| task.is_pending()).count();
            let key = (group.job.pool.clone(), group.job.priority);
            let milli_cpu = f64::from(group.step.size().milli_cpu) * tasks as f64;
            *pending.entry(key).or_default() += milli_cpu;
        }
        let mut shares = Shares::default();
        for ((pool, priority), pending) in pending {
            let (mut capacity, mut long_running) = (0.0, 0.0);
            let usable = |candidate: &&Candidate| candidate.pool == pool && !candidate.evacuated;
            for candidate in candidates.iter().filter(usable) {
                capacity += f64::from(candidate.total_milli_cpu);
                long_running += f64::from(candidate.long_running_milli_cpu());
            }
            let mut offered = self.offered_milli_cpu(state, now, &pool, priority);
            if now.since(self.leading_since) < DEMAND_KNOWN_MS {
                offered = offered.max(placed_short_milli_cpu(state, &pool, priority));
            }
            let asked = self.asked.update(now, &pool, priority, offered, capacity);
            let entitlement = entitlement(capacity, asked, long_running + pending);
            let remaining = capacity - long_running;
            let share = Share { remaining, reserved: 0.0, entitlement };
            shares.shares.insert((pool, priority), share);
        }
        if now.since(self.shares_reported_at) >= REPORT_INTERVAL_MS {
            self.shares_reported_at = now;
            self.outputs.extend(shares.figures().map(Output::Share));
        }
        shares
    }

    /// Returns the offered load of the short queues of a pool that are at least as urgent, in
    /// thousandths of a processor.
    fn offered_milli_cpu(&self, state: &State, now: Millis, pool: &str, priority: u32) -> f64 {
        let queues = state.configuration().into_iter().flat_map(|active| &active.queues);
        let urgent = queues.filter(|queue| queue.pool == pool && queue.priority <= priority);
        urgent.map(|queue| self.demand.milli_cpu(now, queue.key())).sum()
    }
}

/// Returns the processors that a task of a group reserves, in thousandths.
fn milli_cpu(group: &Group<'_>) -> f64 {
    f64::from(group.step.size().milli_cpu)
}

/// Returns the processors of a pool that placed short tasks occupy which are at least as urgent, in
/// thousandths of a processor.
fn placed_short_milli_cpu(state: &State, pool: &str, priority: u32) -> f64 {
    let short = |(_, job): &(u64, &Job)| {
        job.pool == pool && job.priority <= priority && job.placed > 0 && job.is_short()
    };
    let milli_cpu = |(id, job): (u64, &Job)| -> f64 {
        let steps = job.placements(id).filter_map(|(run, _)| job.step(run.task));
        steps.map(|step| f64::from(step.size().milli_cpu)).sum()
    };
    state.active().filter(short).map(milli_cpu).sum()
}
