//! Work that goes before a new job: the pending tasks of accepted jobs, and the jobs that were
//! accepted so recently that neither the replicated state nor a plan contains them.

use std::collections::BTreeMap;

use pond_proto::job::Step;
use pond_proto::{Millis, Span};

use super::forecast::Shape;
use crate::configuration::Queue;
use crate::job::{Job, Task, critical_path_ms};
use crate::lead::PROPOSAL_RETRY_MS;
use crate::lead::duration::Durations;
use crate::lead::ready::{WORTHLESS_SPANS, remaining_ms};
use crate::state::State;

/// A job that was accepted recently.
#[derive(Clone, Debug)]
struct Accepted {
    pool: String,
    priority: u32,
    work: f64,
    width: f64,
    at: Millis,
    /// Whether the sum of the pending work contains it.
    counted: bool,
    /// Whether all its tasks whose turn has come were placed in the last plan.
    started: bool,
    /// Whether the known free capacity is what it left.
    deducted: bool,
}

/// Work that goes before a new job.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Work of pending tasks by pool and priority.
    pending: BTreeMap<(String, u32), f64>,
    accepted: BTreeMap<u64, Accepted>,
}

impl Backlog {
    /// Records an accepted job.
    pub fn accept(&mut self, now: Millis, queue: &Queue, id: u64, shape: &Shape) {
        let accepted = Accepted {
            pool: queue.pool.clone(),
            priority: queue.priority,
            work: shape.work(),
            width: shape.width(),
            at: now,
            counted: false,
            started: false,
            deducted: false,
        };
        self.accepted.insert(id, accepted);
    }

    /// Sums up the pending work of all jobs.
    pub fn scan(&mut self, state: &State, now: Millis, wall: Millis, durations: &Durations) {
        self.pending.clear();
        for (_, job) in state.active().filter(|(_, job)| !job.phase.ended()) {
            let work = pending_work(state, wall, durations, job);
            if work > 0.0 {
                *self.pending.entry((job.pool.clone(), job.priority)).or_default() += work;
            }
        }
        for (id, accepted) in &mut self.accepted {
            accepted.counted |= state.job(*id).is_some();
        }
        self.forget(now);
    }

    /// Records that the tasks of all jobs were placed and that nothing waits; the known free
    /// capacity may be older.
    pub fn record_idle_plan(&mut self, state: &State) {
        for (id, accepted) in &mut self.accepted {
            accepted.started |= state.job(*id).is_some();
        }
    }

    /// Records that the known free capacity is what a plan with all jobs of the state left.
    pub fn record_plan(&mut self, state: &State) {
        self.record_idle_plan(state);
        self.record_query();
    }

    /// Records that the known free capacity is that between two plans.
    pub fn record_query(&mut self) {
        for accepted in self.accepted.values_mut() {
            accepted.deducted |= accepted.started;
        }
    }

    /// Returns the pending work of jobs of that priority or a higher one.
    pub fn work(&self, pool: &str, priority: u32) -> f64 {
        let pending = self.pending.range((pool.to_owned(), 0)..=(pool.to_owned(), priority));
        let accepted = self.accepted_before(pool, priority).filter(|accepted| !accepted.counted);
        pending.map(|(_, work)| work).sum::<f64>() + accepted.map(|job| job.work).sum::<f64>()
    }

    /// Returns the processors that jobs of that priority or a higher one will take of the known
    /// free capacity, in thousandths.
    pub fn width(&self, pool: &str, priority: u32) -> f64 {
        let accepted = self.accepted_before(pool, priority).filter(|accepted| !accepted.deducted);
        accepted.map(|job| job.width).sum()
    }

    fn accepted_before(&self, pool: &str, priority: u32) -> impl Iterator<Item = &Accepted> {
        let before = move |job: &&Accepted| job.pool == pool && job.priority <= priority;
        self.accepted.values().filter(before)
    }

    /// Forgets jobs that no longer need separate counting, and those whose proposal was lost.
    fn forget(&mut self, now: Millis) {
        self.accepted.retain(|_, job| {
            let proposed = now.since(job.at) < PROPOSAL_RETRY_MS;
            if job.counted { !job.deducted } else { proposed }
        });
    }
}

/// Returns the objective of a job as a duration, in milliseconds.
pub fn span_ms(queue: &Queue, path_ms: Span) -> Span {
    path_ms.saturating_mul(queue.stretch_permille) / 1000 + queue.target_ms
}

/// Returns the expected work of the pending run-to-completion tasks of a job that reserve
/// processors, unless the job is too late to be of value.
fn pending_work(state: &State, wall: Millis, durations: &Durations, job: &Job) -> f64 {
    let counts = |step: &Step| !step.long_running && !step.best_effort;
    if !job.spec.steps.iter().any(counts) {
        return 0.0;
    }
    let takes_ms = |step: &Step| durations.expected_ms(job.queue_key(), step);
    let span_ms = state.queue_of(job).map_or(job.target_at.since(job.submitted_at), |queue| {
        span_ms(queue, critical_path_ms(&job.spec.steps, |_, step| takes_ms(step)))
    });
    let mut work = 0.0;
    for (repetition, steps) in job.repetitions.iter().enumerate() {
        let due = job.due(repetition);
        if job.spec.repeat.is_some() && wall < due {
            break;
        }
        let of_step = |(step, tasks): (&Step, &Vec<Task>)| {
            let pending = tasks.iter().filter(|task| task.is_pending()).count() as f64;
            pending * takes_ms(step) as f64 * f64::from(step.milli_cpu)
        };
        let steps = job.spec.steps.iter().zip(steps).filter(|(step, _)| counts(step));
        let pending: f64 = steps.map(of_step).sum();
        let end = wall + remaining_ms(job, repetition, takes_ms);
        if pending > 0.0 && end <= due + span_ms * WORTHLESS_SPANS {
            work += pending;
        }
    }
    work
}
