//! Admission of new jobs: whether a job can be done while it is of value to its caller. It is
//! decided from the capacity of the pool, the work that goes first, and the offered load.
//!
//! A job may arrive every few milliseconds. The capacity is therefore taken from the last plan, and
//! the waiting work is summed up at most every [`REFRESH_MS`]; jobs accepted in between are added.

mod attempts;
mod backlog;
mod capacity;
mod error;
mod forecast;
mod retry;
mod width;

use std::collections::BTreeMap;

use pond_proto::job::{Phase, Spec, Step};
use pond_proto::{Millis, Span};

use super::candidate;
use super::plan::{DISCOVERY_MS, REPORT_VALID_MS};
use super::{Decision, Leader, Output, PROPOSAL_RETRY_MS};
use crate::configuration::Queue;
use crate::job::is_short;
use crate::state::State;

use attempts::Attempts;
use backlog::{Backlog, span_ms};
use capacity::{Capacity, Labels, Usable};
use error::Errors;
use forecast::{Candidate, Shape, Verdict};
use width::Widths;

pub use forecast::Inputs;

/// Shortest interval between computations of the same input, in milliseconds. It is short compared
/// with the durations of tasks.
const REFRESH_MS: Span = 50;

/// Share of the mean work of a queue from which a job counts as wide. Equal jobs all do, in spite
/// of rounding.
const WIDE_SHARE: f64 = 0.99;

/// Whether a new job is accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The job may be proposed.
    Accepted {
        /// Time from which its objective counts, on the operators' clock.
        submitted_at: Millis,
    },
    /// The job must not be proposed.
    Rejected(Rejection),
}

/// Why a job is rejected, and when its caller may retry.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Span,
    /// Forecast time until the job would be done, in milliseconds.
    pub forecast_ms: Span,
    /// Time within which it should be done, in milliseconds.
    pub span_ms: Span,
}

/// Why a job cannot be done while it is of value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too much work goes first.
    Overload,
    /// Not even the empty pool could do it.
    Unservable,
}

impl Reason {
    /// Returns the reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Unservable => "unservable",
        }
    }
}

/// Forecast of an accepted job.
#[derive(Clone, Debug)]
struct Forecast {
    queue: String,
    pool: String,
    /// Whether the job has at least about the mean work of its queue.
    wide: bool,
    accepted_at: Millis,
    /// Wait without correction, in milliseconds.
    wait_ms: f64,
    path_ms: Span,
    forecast_ms: Span,
    /// Whether the error was recorded.
    measured: bool,
}

impl Forecast {
    /// Returns how long the job has taken beyond its critical path, in milliseconds.
    fn actual_ms(&self, now: Millis) -> f64 {
        now.since(self.accepted_at).saturating_sub(self.path_ms) as f64
    }
}

/// State of admission control.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    attempts: Attempts,
    backlog: Backlog,
    errors: Errors,
    widths: Widths,
    forecasts: BTreeMap<u64, Forecast>,
    capacity: Capacity,
    labels: Labels,
    /// When the capacity was determined; `None` if it was not.
    capacity_at: Option<Millis>,
    /// Whether the last plan had nothing to place and did not determine the capacity.
    idle: bool,
    /// When the pending work was summed up; `None` if it was not.
    scanned_at: Option<Millis>,
}

impl Admissions {
    /// Records that a plan found nothing to place.
    pub fn record_idle_plan(&mut self, state: &State) {
        self.idle = true;
        self.backlog.record_idle_plan(state);
    }

    /// Records the candidates that a plan left.
    pub fn record_plan(&mut self, state: &State, now: Millis, candidates: &[candidate::Candidate]) {
        self.idle = false;
        self.capacity = Capacity::new(candidates, &self.labels);
        self.capacity_at = Some(now);
        self.backlog.record_plan(state);
    }

    /// Forgets forecasts of jobs that were not applied, and records the errors of those that are
    /// known to be the largest that count.
    fn measure(&mut self, state: &State, now: Millis) {
        let Admissions { forecasts, errors, .. } = self;
        forecasts.retain(|id, forecast| {
            let proposed = now.since(forecast.accepted_at) < PROPOSAL_RETRY_MS;
            proposed || state.job(*id).is_some_and(|job| !job.phase.ended())
        });
        for forecast in forecasts.values_mut().filter(|forecast| !forecast.measured) {
            let actual_ms = forecast.actual_ms(now);
            if error::is_largest(forecast.wait_ms, actual_ms) {
                errors.record(now, &forecast.pool, forecast.wide, forecast.wait_ms, actual_ms);
                forecast.measured = true;
            }
        }
    }

    /// Returns whether the job was rejected before, so that its load is recorded already.
    pub fn was_rejected(&mut self, now: Millis, id: u64) -> bool {
        self.attempts.first(now, id).is_some()
    }
}

impl Leader {
    /// Decides whether a new job is accepted. The caller has checked that it is neither known nor
    /// proposed already.
    pub fn admit(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        queue: &Queue,
        id: u64,
        spec: &Spec,
    ) -> Admission {
        let takes_ms = |step: &Step| self.durations.expected_ms(queue.key(), step);
        let shape = Shape::new(&spec.steps, takes_ms);
        if !is_short(spec) || shape.work() <= 0.0 {
            return Admission::Accepted { submitted_at: wall };
        }
        let rejected_at = self.admissions.attempts.first(now, id);
        if rejected_at.is_none() {
            self.admissions.widths.record(queue.key(), shape.work());
        }
        let submitted_at = rejected_at.unwrap_or(wall);
        let Some(inputs) = self.admission_inputs(state, now, wall, queue, &spec.steps) else {
            self.admissions.backlog.accept(now, queue, id, &shape);
            return Admission::Accepted { submitted_at };
        };
        let span_ms = span_ms(queue, shape.path_ms);
        let limit = inputs.room * span_ms.saturating_sub(shape.path_ms) as f64;
        let widest = self.admissions.widths.widest_tenth(queue.key(), limit);
        let job = Candidate {
            judged_work: widest.max(shape.work()),
            shape,
            span_ms,
            elapsed_ms: wall.since(submitted_at),
        };
        match job.judge(&inputs) {
            Verdict::Accepted { wait_ms } => {
                let mean = self.durations.mean_work(queue.key());
                let wide = mean.is_some_and(|mean| job.shape.work() >= WIDE_SHARE * mean);
                let correction = self.admissions.errors.correction(now, &queue.pool, wide);
                let forecast = Forecast {
                    queue: queue.name.clone(),
                    pool: queue.pool.clone(),
                    wide,
                    accepted_at: now,
                    wait_ms,
                    path_ms: job.shape.path_ms,
                    forecast_ms: (wait_ms * correction) as Span + job.shape.path_ms,
                    measured: false,
                };
                self.admissions.forecasts.insert(id, forecast);
                self.admissions.backlog.accept(now, queue, id, &job.shape);
                Admission::Accepted { submitted_at }
            }
            Verdict::Rejected { reason, forecast_ms } => {
                // What cannot be done at all claims no share of the pool.
                let first = self.admissions.attempts.record(now, wall, id);
                if first && reason == Reason::Overload {
                    let takes_ms = |step: &Step| self.durations.expected_ms(queue.key(), step);
                    self.demand.record(now, queue.key(), &spec.steps, takes_ms);
                }
                let retry_after_ms = retry::retry_after_ms(forecast_ms.saturating_sub(span_ms), id);
                let rejection = Rejection { reason, retry_after_ms, forecast_ms, span_ms };
                let decision = Decision::Rejected {
                    job: id,
                    queue: queue.name.clone(),
                    rejection: rejection.clone(),
                    inputs,
                };
                self.outputs.push(Output::Decided(decision));
                Admission::Rejected(rejection)
            }
        }
    }

    /// Returns the inputs for a job with these steps; `None` if the capacity for one of them is not
    /// known. Each step counts by its work, since a task fits into other pieces than a smaller one.
    fn admission_inputs(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        queue: &Queue,
        steps: &[Step],
    ) -> Option<Inputs> {
        if now.since(self.leading_since) < DISCOVERY_MS {
            return None;
        }
        steps.iter().for_each(|step| self.admissions.labels.add(step));
        self.refresh_capacity(state, now);
        let expired = |at: Option<Millis>| at.is_none_or(|at| now.since(at) >= REFRESH_MS);
        if expired(self.admissions.scanned_at) {
            self.admissions.scanned_at = Some(now);
            self.admissions.backlog.scan(state, now, wall, &self.durations);
            self.admissions.measure(state, now);
        }
        let Admissions { backlog, errors, capacity, .. } = &self.admissions;
        let work = |step: &Step| {
            let expected_ms = self.durations.expected_ms(queue.key(), step);
            f64::from(step.tasks) * f64::from(step.milli_cpu) * expected_ms as f64
        };
        let mut usable = Usable::default();
        let all: f64 = steps.iter().map(work).sum();
        for step in steps {
            usable.add(capacity.usable(&queue.pool, step)?, work(step) / all);
        }
        let queues = state.configuration().into_iter().flat_map(|held| &held.queues);
        let before = |other: &&Queue| other.pool == queue.pool && other.priority <= queue.priority;
        let offered = queues.filter(before).map(|other| self.demand.milli_cpu(now, other.key()));
        Some(Inputs {
            capacity: usable.capacity,
            room: usable.room,
            free: (usable.free - backlog.width(&queue.pool, queue.priority)).max(0.0),
            waiting_work: backlog.work(&queue.pool, queue.priority),
            offered: offered.sum(),
            correction: errors.correction(now, &queue.pool, true),
        })
    }

    /// Determines the capacity unless the last plan did. While plans place tasks, only they know
    /// what their proposed starts leave.
    fn refresh_capacity(&mut self, state: &State, now: Millis) {
        let age_ms = self.admissions.capacity_at.map(|at| now.since(at));
        let max_ms = if self.admissions.idle { REFRESH_MS } else { REPORT_VALID_MS };
        if age_ms.is_some_and(|age_ms| age_ms < max_ms) {
            return;
        }
        let candidates = self.candidates(state, now);
        self.admissions.capacity = Capacity::new(&candidates, &self.admissions.labels);
        self.admissions.capacity_at = Some(now);
        self.admissions.backlog.record_query();
        self.cache.keep(candidates);
    }

    /// Compares the forecast of an ended job with its duration.
    pub(super) fn check_forecast(&mut self, now: Millis, id: u64, phase: Phase) {
        let Some(forecast) = self.admissions.forecasts.remove(&id) else { return };
        if phase == Phase::Completed && !forecast.measured {
            let Forecast { pool, wide, wait_ms, .. } = &forecast;
            let actual_ms = forecast.actual_ms(now);
            self.admissions.errors.record(now, pool, *wide, *wait_ms, actual_ms);
        }
        let duration_ms = now.since(forecast.accepted_at);
        let Forecast { queue, forecast_ms, .. } = forecast;
        let decision = Decision::ForecastEnded { job: id, queue, forecast_ms, duration_ms };
        self.outputs.push(Output::Decided(decision));
    }
}
