//! Expected durations of tasks and amounts of work of jobs: the owners' estimates, corrected by the
//! durations of earlier tasks of the queue.
//!
//! Owners' estimates are wrong by factors that differ by queue and by job. A regression line of the
//! logarithms of durations over those of estimates shows by how much the estimates of a queue are
//! wrong and how much weight they deserve. If they carry no information, all tasks of a queue are
//! expected to have its usual duration. Nothing of this is replicated: a new leader starts with the
//! owners' estimates and knows as much as its predecessor after a few seconds.

use std::collections::BTreeMap;

use pond_proto::job::{RunName, Step};
use pond_proto::{Millis, Span};

use crate::configuration::QueueKey;
use crate::job::{Job, Task};
use crate::origin::Origin;
use crate::queue_map::QueueMap;
use crate::state::State;

/// Weight of the owners' estimates, as a number of steps whose durations matched them exactly. It
/// is small compared with the dozens of steps that end in ten seconds.
const PRIOR_STEPS: f64 = 4.0;

/// Standard deviation of the logarithms of these prior estimates: tasks of a queue differ by
/// factors of one and a half.
const PRIOR_DEVIATION: f64 = 0.5;

/// Weight that earlier steps and jobs keep after each new one. The last hundred count, which are
/// those of one or two minutes.
const DECAY: f64 = 0.99;

/// Regression of the durations of a queue's tasks over their estimates, as weighted sums over
/// steps.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    /// Sum of the logarithms of estimates.
    estimate: f64,
    /// Sum of the logarithms of durations relative to estimates.
    excess: f64,
    estimate_squared: f64,
    /// Sum of the products of both logarithms.
    product: f64,
}

impl Line {
    /// Adds the duration of a task with that estimate, both in milliseconds.
    fn learn(&mut self, estimate: f64, duration: f64, weight: f64) {
        let (x, d) = (estimate.ln(), (duration / estimate).ln());
        let decay = DECAY.powf(weight);
        for (sum, more) in [
            (&mut self.weight, 1.0),
            (&mut self.estimate, x),
            (&mut self.excess, d),
            (&mut self.estimate_squared, x * x),
            (&mut self.product, x * d),
        ] {
            *sum = *sum * decay + more * weight;
        }
    }

    /// Returns the expected duration of a task with that estimate, both in milliseconds.
    fn expected(&self, estimate: f64) -> f64 {
        if self.weight <= 0.0 {
            return estimate;
        }
        let mean = self.estimate / self.weight;
        let squared_deviation = (self.estimate_squared - mean * self.estimate).max(0.0);
        let codeviation = self.product - mean * self.excess;
        let slope =
            codeviation / (squared_deviation + PRIOR_STEPS * PRIOR_DEVIATION * PRIOR_DEVIATION);
        let level = self.excess / (self.weight + PRIOR_STEPS);
        estimate * (level + slope * (estimate.ln() - mean)).exp()
    }
}

/// Weighted mean of the most recent values.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    sum: f64,
}

impl Mean {
    fn learn(&mut self, value: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.sum = self.sum * DECAY + value;
    }
}

/// Expected durations of tasks, and amounts of work of jobs.
#[derive(Debug, Default)]
pub(super) struct Durations {
    /// Regressions by queue.
    lines: QueueMap<Line>,
    /// Work of jobs, by queue.
    jobs: QueueMap<Mean>,
    /// First runs of tasks that were assigned to workers.
    started: BTreeMap<RunName, Start>,
}

/// Start of a run. The data of its step is copied, because a job that ends with the run drops its
/// steps.
#[derive(Clone, Debug)]
struct Start {
    at: Millis,
    origin: Origin,
    estimate_ms: Span,
    /// Number of tasks of the step. They are alike, so all of them together have the weight of a
    /// step with one task.
    tasks: u32,
}

impl Durations {
    /// Records that a run was assigned to a worker.
    pub fn record_start(&mut self, state: &State, now: Millis, run: RunName) {
        // Later runs may continue from a checkpoint.
        let job = state.job(run.task.job).filter(|_| run.number == 1);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(run.task)?))) else {
            return;
        };
        if step.long_running || step.estimate_ms == 0 {
            return;
        }
        let Some(origin) = job.origin.clone() else { return };
        let (estimate_ms, tasks) = (step.estimate_ms, step.tasks.max(1));
        self.started.insert(run, Start { at: now, origin, estimate_ms, tasks });
    }

    /// Records the end of a run; `done` tells whether it succeeded.
    pub fn record_end(&mut self, now: Millis, run: RunName, done: bool) {
        let Some(started) = self.started.remove(&run).filter(|_| done) else { return };
        let duration = now.since(started.at).max(1) as f64;
        let line = self.lines.entry(started.origin.key());
        line.learn(started.estimate_ms as f64, duration, 1.0 / f64::from(started.tasks));
    }

    /// Forgets runs that are not placed.
    pub fn forget(&mut self, placed: impl Fn(RunName) -> bool) {
        self.started.retain(|run, _| placed(*run));
    }

    /// Records the work of a submitted job, see [`Durations::work`].
    pub fn record_job(&mut self, job: &Job) {
        let work = self.work(job, 0, |_| true);
        self.jobs.entry(job.queue_key()).learn(work);
    }

    /// Returns the mean work of the jobs of a queue; `None` if none was submitted yet.
    pub fn mean_work(&self, queue: QueueKey<'_>) -> Option<f64> {
        self.jobs.get(queue).map(|mean| mean.sum / mean.weight)
    }

    /// Returns the work of the counted tasks in a repetition of a job, in thousandths of a
    /// processor times milliseconds.
    pub fn work(&self, job: &Job, repetition: usize, counts: impl Fn(&Task) -> bool) -> f64 {
        let steps =
            job.spec.steps.iter().zip(job.repetitions.get(repetition).into_iter().flatten());
        let of_step = |(step, tasks): (&Step, &Vec<Task>)| {
            let count = tasks.iter().filter(|task| counts(task)).count() as f64;
            count * self.expected_ms(job.queue_key(), step) as f64 * f64::from(step.milli_cpu)
        };
        steps.map(of_step).sum()
    }

    /// Returns the expected duration of a task of a step in that queue, in milliseconds.
    pub fn expected_ms(&self, queue: QueueKey<'_>, step: &Step) -> Span {
        let line = self.lines.get(queue).filter(|_| step.estimate_ms > 0);
        let expected = line.map(|line| line.expected(step.estimate_ms as f64));
        expected.map_or(step.estimate_ms, |expected| expected as Span)
    }
}
