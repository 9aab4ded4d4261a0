//! The order in which the jobs of a priority are placed.

use pond_proto::Millis;
use pond_proto::job::Step;

use crate::job::{Job, critical_path_ms};
use crate::lead::duration::Durations;
use crate::state::State;

/// A job is worthless if it ends later than this many times its span after it was due. The span is
/// the time from when the job is due until when it should be done.
pub const WORTHLESS_SPANS: u64 = 3;

/// Share of a job's value that does not depend on its work, according to the users' specification.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// Remaining work relative to the value of a job counts up to this, in hundredths: that of a job of
/// average size that has not started.
const MAX_REMAINING_PERCENT: u64 = 100;

/// A started late job goes before jobs that can be in time while its remaining work relative to its
/// value is below this, in hundredths: a late job has 0.15 of the value that it has in time.
const MAX_LATE_REMAINING_PERCENT: u64 = 15;

/// In an overloaded pool, remaining work relative to the value of a new job counts up to this, in
/// hundredths: that of a job of 0.31 times the mean work. Larger jobs are equal, so that the place
/// of the largest does not depend on their size. With 80, the largest tenth and the fifth below it
/// were in time less than half as often as all with some of six seeds.
const MAX_NEW_REMAINING_PERCENT: u64 = 60;

/// Multiplier that spreads consecutive ids over all places: 2^64 divided by the golden ratio.
const ID_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// Placement order of groups; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the queue.
    pub priority: u32,
    /// How useful it is to place tasks of the job.
    usefulness: Usefulness,
    /// Remaining work relative to the value of the job, in hundredths, so that under overload some
    /// jobs are done in time instead of all jobs a little late.
    remaining: u64,
    /// When the job should be done, in milliseconds, or a place that follows from its id.
    turn: u64,
}

impl Prospect {
    /// Returns the prospect as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Prospect::InTime => "in_time",
            Prospect::Late => "late",
            Prospect::Worthless => "worthless",
        }
    }
}

impl Urgency {
    /// Returns whether the tasks leave capacity to those of useful jobs.
    pub fn yields(&self) -> bool {
        self.usefulness >= Usefulness::Late
    }
}

/// How useful it is to place tasks of a job, most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Usefulness {
    /// A task of the job has been placed, and the job can be in time, or is late with little work
    /// left. Otherwise a wide job whose tasks do not all fit at once would wait behind each job
    /// that arrives later, and what is done of it would be wasted.
    Started,
    /// No task of the job has been placed yet, and the job can be in time.
    New,
    /// The job can be done, but late.
    Late,
    /// The job is too late to be of value.
    Worthless,
}

/// What work on a job can still achieve. Under overload, work on a job that is already late makes
/// the next one late as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// The job can be done in time.
    InTime,
    /// The job can be done, but late.
    Late,
    /// The job is too late to be of value.
    Worthless,
}

/// Returns the place of a job. In an overloaded pool, the larger new jobs come in an order that
/// follows from their ids. With the earliest target first, wide jobs are begun when it is too late
/// for all their tasks, and what is done of them is wasted.
pub fn urgency(
    id: u64,
    state: &State,
    durations: &Durations,
    job: &Job,
    repetition: usize,
    wall: Millis,
    overloaded: bool,
) -> Urgency {
    let (prospect, target_at) = prospect(state, durations, job, repetition, wall);
    let remaining = remaining_share(durations, job, repetition);
    let usefulness = match (prospect, has_started(job, repetition)) {
        (Prospect::InTime, true) => Usefulness::Started,
        (Prospect::InTime, false) => Usefulness::New,
        (Prospect::Late, true) if remaining < MAX_LATE_REMAINING_PERCENT => Usefulness::Started,
        (Prospect::Late, _) => Usefulness::Late,
        (Prospect::Worthless, _) => Usefulness::Worthless,
    };
    let (remaining, turn) = match usefulness {
        Usefulness::New if overloaded => {
            (remaining.min(MAX_NEW_REMAINING_PERCENT), id.wrapping_mul(ID_SPREAD))
        }
        _ => (remaining, target_at.0),
    };
    Urgency { priority: job.priority, usefulness, remaining, turn }
}

/// Returns what work on a repetition of a job can still achieve, and when the job should be done.
pub fn prospect(
    state: &State,
    durations: &Durations,
    job: &Job,
    repetition: usize,
    wall: Millis,
) -> (Prospect, Millis) {
    let due = job.due(repetition);
    let takes_ms = |step: &Step| durations.expected_ms(job.queue_key(), step);
    let queue = state.queue_of(job);
    // Users extend the target by runs that fail through no fault of a worker.
    let chain_ms = critical_path_ms(&job.spec.steps, |index, step| {
        takes_ms(step) * (1 + most_failures(job, repetition, index))
    });
    let span = queue.map_or(job.target_at.since(job.submitted_at), |queue| {
        chain_ms.saturating_mul(queue.stretch_permille) / 1000 + queue.target_ms
    });
    let target_at = due + span;
    let end = wall + remaining_ms(job, repetition, takes_ms);
    let prospect = if job.spec.steps.iter().any(|step| step.long_running) || end <= target_at {
        Prospect::InTime
    } else if end <= due + span * WORTHLESS_SPANS {
        Prospect::Late
    } else {
        Prospect::Worthless
    };
    (prospect, target_at)
}

/// Returns whether a task of a repetition of a job has been placed.
fn has_started(job: &Job, repetition: usize) -> bool {
    let steps = job.repetitions.get(repetition);
    steps.into_iter().flatten().flatten().any(|task| task.run > 0)
}

/// Returns how often the task of a step has failed that has failed most often.
fn most_failures(job: &Job, repetition: usize, step: usize) -> u64 {
    let tasks = job.repetitions.get(repetition).and_then(|steps| steps.get(step));
    let failures = tasks.into_iter().flatten().map(|task| u64::from(task.failures));
    failures.max().unwrap_or(0)
}

/// Returns the remaining work of a repetition of a job relative to the value of the job, in
/// hundredths.
///
/// The value of a job depends on its work, and in part is the same for all jobs of its queue. So
/// jobs that are nearly done are finished first, and of jobs that have not started the small ones
/// go first: the same processors finish more jobs in time. The large ones are equal, so that the
/// largest are not always the last.
fn remaining_share(durations: &Durations, job: &Job, repetition: usize) -> u64 {
    let total = durations.work(job, repetition, |_| true);
    let remaining = durations.work(job, repetition, |task| !task.done);
    let mean = durations.mean_work(job.queue_key()).unwrap_or(total);
    let value = FIXED_VALUE_SHARE * mean + (1.0 - FIXED_VALUE_SHARE) * total;
    ((remaining * 100.0 / value.max(1.0)) as u64).min(MAX_REMAINING_PERCENT)
}

/// Returns the longest chain of estimates through the steps that are not done, in milliseconds.
pub fn remaining_ms(job: &Job, repetition: usize, takes_ms: impl Fn(&Step) -> u64) -> u64 {
    let Some(steps) = job.repetitions.get(repetition) else { return 0 };
    let unfinished =
        |i: usize| steps.get(i).is_some_and(|tasks| tasks.iter().any(|task| !task.done));
    critical_path_ms(&job.spec.steps, |i, step| if unfinished(i) { takes_ms(step) } else { 0 })
}
