//! Capacity that useful jobs are expected to want while a task of a late job runs. Such tasks leave
//! it free: a job that arrives and can be in time would have to wait for them.

use pond_proto::{Millis, Span};

use super::Group;
use crate::job::Job;
use crate::lead::candidate::Candidate;
use crate::lead::demand::Demand;
use crate::state::State;

/// The longest part of a task's duration that counts, in milliseconds. Later arrivals find capacity
/// that other tasks have returned.
const MAX_COUNTED_MS: Span = 500;

/// Work that arrives within this time, in milliseconds, wants as many processors as the offered
/// load: tasks of the jobs that reserve processors take about a second.
const ARRIVAL_MS: f64 = 1_000.0;

/// Returns the processors that arriving jobs of the same or a higher priority are expected to want
/// while a task of a job runs for that long, in thousandths of a processor.
pub fn wanted_milli_cpu(
    state: &State,
    now: Millis,
    demand: &Demand,
    job: &Job,
    task_ms: Span,
) -> u64 {
    let queues = state.configuration().into_iter().flat_map(|held| &held.queues);
    let competing = queues.filter(|queue| queue.pool == job.pool && queue.priority <= job.priority);
    let offered: f64 = competing.map(|queue| demand.milli_cpu(now, queue.key())).sum();
    (offered * task_ms.min(MAX_COUNTED_MS) as f64 / ARRIVAL_MS) as u64
}

impl Group<'_> {
    /// Returns whether the next start of the group would take capacity that useful jobs are
    /// expected to want: one task, or all tasks of a gang.
    pub fn takes_wanted(&self, candidates: &[Candidate]) -> bool {
        if self.wanted_milli_cpu == 0 {
            return false;
        }
        let tasks = if self.step.gang { self.tasks().len() as u64 } else { 1 };
        let needed = self.wanted_milli_cpu + tasks * u64::from(self.step.milli_cpu);
        let usable = |candidate: &&Candidate| {
            candidate.pool == self.job.pool && !candidate.evacuated && !candidate.in_backoff
        };
        let free = |candidate: &Candidate| candidate.unreserved_milli_cpu().max(0) as u64;
        candidates.iter().filter(usable).map(free).sum::<u64>() < needed
    }
}
