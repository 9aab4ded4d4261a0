//! How long tasks take, and how much work jobs are: what their owners estimate, corrected by what earlier tasks of
//! the queue took.
//!
//! Owners' estimates are off by factors that differ by queue and by job. A line through what earlier tasks took, over
//! their estimates, both as logarithms, tells by how much estimates of a queue are off and how far they are to be
//! believed at all: where they tell nothing, all tasks of a queue are expected to take what they usually do. Nothing of
//! it is replicated: a new leader believes the estimates, and knows as much as the former one after some seconds.

use std::collections::BTreeMap;

use pond_proto::job::{RunName, Step};
use pond_proto::{Millis, Span};

use crate::job::{Job, Task};
use crate::state::State;

/// Estimates are believed as if so many steps had taken just what was estimated: few against the dozens that end in
/// ten seconds. Measured only as it is.
const PRIOR_STEPS: f64 = 4.0;

/// The deviation of the logarithms of these estimates: tasks of a queue differ by factors of one and a half.
const PRIOR_DEVIATION: f64 = 0.5;

/// Of what earlier steps and jobs tell, so much is left after another one: the last hundred count, those of a minute
/// or two.
const DECAY: f64 = 0.99;

/// What tasks of a queue took over their estimates, as weighted sums over steps.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    /// Logarithms of estimates.
    estimate: f64,
    /// Logarithms of what tasks took over their estimates.
    excess: f64,
    estimate_squared: f64,
    /// Products of both logarithms.
    product: f64,
}

impl Line {
    /// A task of that estimate took so long, both in milliseconds.
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

    /// What a task of that estimate is expected to take, both in milliseconds.
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

/// The mean of the last ones.
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

/// What is known of how long tasks take, and how much work jobs are.
#[derive(Debug, Default)]
pub(super) struct Durations {
    /// By queue.
    lines: BTreeMap<String, Line>,
    /// The work of jobs, by queue.
    jobs: BTreeMap<String, Mean>,
    /// First runs of tasks that were given to their workers.
    started: BTreeMap<RunName, Started>,
}

/// The start of a run. What is known of its step is kept, as a job that ends with the run forgets its steps.
#[derive(Clone, Debug)]
struct Started {
    at: Millis,
    queue: String,
    estimate_ms: Span,
    /// How many tasks the step has; they are alike, so all together tell as much as a step of one.
    tasks: u32,
}

impl Durations {
    /// A run is given to a worker.
    pub fn note_start(&mut self, state: &State, now: Millis, run: RunName) {
        // Later runs may go on from a save.
        let job = state.job(run.task.job).filter(|_| run.number == 1);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(run.task)?))) else {
            return;
        };
        if step.lasting || step.estimate_ms == 0 {
            return;
        }
        let (queue, estimate_ms) = (job.queue.clone(), step.estimate_ms);
        self.started.insert(run, Started { at: now, queue, estimate_ms, tasks: step.tasks.max(1) });
    }

    /// A run is over; it was done or not.
    pub fn note_end(&mut self, now: Millis, run: RunName, done: bool) {
        let Some(started) = self.started.remove(&run).filter(|_| done) else { return };
        let duration = now.since(started.at).max(1) as f64;
        let line = self.lines.entry(started.queue).or_default();
        line.learn(started.estimate_ms as f64, duration, 1.0 / f64::from(started.tasks));
    }

    /// Forgets runs that are placed nowhere.
    pub fn forget(&mut self, placed: impl Fn(RunName) -> bool) {
        self.started.retain(|run, _| placed(*run));
    }

    /// A job of so much work was handed in, see [`Durations::work`].
    pub fn note_job(&mut self, job: &Job) {
        let work = self.work(job, 0, |_| true);
        self.jobs.entry(job.queue.clone()).or_default().learn(work);
    }

    /// The mean work of the jobs of a queue; none if none was handed in yet.
    pub fn mean_work(&self, queue: &str) -> Option<f64> {
        self.jobs.get(queue).map(|mean| mean.sum / mean.weight)
    }

    /// The work of the tasks that count at a time of a job, in thousandths of a processor times milliseconds.
    pub fn work(&self, job: &Job, time: usize, counts: impl Fn(&Task) -> bool) -> f64 {
        let steps = job.spec.steps.iter().zip(job.times.get(time).into_iter().flatten());
        let of_step = |(step, tasks): (&Step, &Vec<Task>)| {
            let count = tasks.iter().filter(|task| counts(task)).count() as f64;
            count * self.expected_ms(&job.queue, step) as f64 * f64::from(step.milli_cpu)
        };
        steps.map(of_step).sum()
    }

    /// What a task of a step of that queue is expected to take, in milliseconds.
    pub fn expected_ms(&self, queue: &str, step: &Step) -> Span {
        let line = self.lines.get(queue).filter(|_| step.estimate_ms > 0);
        let expected = line.map(|line| line.expected(step.estimate_ms as f64));
        expected.map_or(step.estimate_ms, |expected| expected as Span)
    }
}
