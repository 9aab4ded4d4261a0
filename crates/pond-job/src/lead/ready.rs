//! The groups of tasks that wait for a place, in the order in which they get one.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::job::{Step, TaskName};

use super::colocation::ServingLoad;
use super::duration::Durations;
use super::image::Image;
use super::interference::Interference;
use crate::job::{Job, Task, longest_chain};
use crate::state::State;

/// A job that ends later than this many times its span after it fell due is worth nothing any more.
const WORTHLESS_SPANS: u64 = 3;

/// The part of what a job counts that does not hang on its work: users' pages give three tenths.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// A group of tasks whose turn has come.
pub(super) struct Ready<'a> {
    /// What goes first.
    pub urgency: Urgency,
    /// The job's id.
    pub id: u64,
    /// Which of the job's times, from zero.
    pub time: usize,
    /// Which of its steps, from zero.
    pub step_index: usize,
    /// What the job says of that step.
    pub step: &'a Step,
    /// The job.
    pub job: &'a Job,
    /// The image of its tasks.
    pub image: Image,
    /// One of its tasks as a serving one; none for other tasks.
    pub serving: Option<ServingLoad>,
}

/// Orders groups: lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// The priority of the queue.
    priority: u32,
    /// What can still be gained by it.
    prospect: Prospect,
    /// The work that is left over what the job counts, in hundredths: what is begun is finished first, so that
    /// under overload some jobs are done in time instead of all a little late.
    remaining: u64,
    /// When it should be done.
    aim: Millis,
}

/// What can still be gained by work on a job. Under overload, work for a job that is late already
/// makes the next one late, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Prospect {
    /// It can be done in time.
    InTime,
    /// It can be done, but late.
    Late,
    /// It is too late for all but the record.
    Worthless,
}

impl<'a> Ready<'a> {
    /// All tasks of the group, those that have a place or are done, too.
    pub fn tasks(&self) -> &'a [Task] {
        &self.job.times[self.time][self.step_index]
    }

    /// The name of a task of the group.
    pub fn task(&self, index: usize) -> TaskName {
        TaskName {
            job: self.id,
            time: self.time as u32,
            step: self.step_index as u32,
            index: index as u32,
        }
    }
}

/// The groups of tasks whose turn has come and of which some are not placed, most urgent first.
pub(super) fn ready<'a>(
    state: &'a State,
    now: Millis,
    wall: Millis,
    interference: &mut Interference,
    durations: &Durations,
) -> Vec<Ready<'a>> {
    let mut ready = Vec::new();
    for (id, job) in state.active().filter(|(_, job)| !job.phase.ended()) {
        for (time, steps) in job.times.iter().enumerate() {
            if job.spec.repeat.is_some() && wall < job.due(time) {
                continue;
            }
            for (step_index, (step, tasks)) in job.spec.steps.iter().zip(steps).enumerate() {
                if tasks.iter().any(Task::waits) && job.turn(time, step_index) {
                    let urgency = urgency(state, durations, job, time, wall);
                    let serving = interference.new_serving(now, step);
                    let image = interference.image(&step.image);
                    ready.push(Ready { urgency, id, time, step_index, step, job, image, serving });
                }
            }
        }
    }
    ready.sort_by_key(|group| (group.urgency, group.id, group.time, group.step_index));
    pack(&mut ready);
    ready
}

/// Brings serving groups of equal priority into the order in which they pack well: image by image,
/// the image that asks for most first, so that only the last worker of each image is shared with
/// the next one; within an image large tasks first, as small ones fill what they leave.
fn pack(ready: &mut [Ready<'_>]) {
    let mut requested: BTreeMap<String, u64> = BTreeMap::new();
    for group in ready.iter().filter(|group| group.serving.is_some()) {
        let waiting = group.tasks().iter().filter(|task| task.waits()).count() as u64;
        let milli_cpu = u64::from(group.step.milli_cpu);
        *requested.entry(group.step.image.clone()).or_default() += waiting * milli_cpu;
    }
    ready.sort_by_key(|group| {
        let image = group.step.image.as_str();
        let order = group.serving.is_some().then(|| {
            let requested = requested.get(image).copied().unwrap_or(0);
            (Reverse(requested), image, Reverse(group.step.milli_cpu))
        });
        // None sorts before Some, and serving groups go first.
        (group.urgency.priority, Reverse(order.is_some()), order)
    });
}

fn urgency(state: &State, durations: &Durations, job: &Job, time: usize, wall: Millis) -> Urgency {
    let due = job.due(time);
    let takes_ms = |step: &Step| durations.expected_ms(&job.queue, step);
    let mut queues = state.configuration().into_iter().flat_map(|held| &held.queues);
    let queue = queues.find(|queue| queue.name == job.queue);
    let chain_ms = longest_chain(&job.spec.steps, |_, step| takes_ms(step));
    let span = queue.map_or(job.aim.since(job.at), |queue| {
        chain_ms.saturating_mul(queue.stretch_permille) / 1000 + queue.target_ms
    });
    let aim = due + span;
    let end = wall + remaining_ms(job, time, takes_ms);
    let prospect = if job.spec.steps.iter().any(|step| step.lasting) || end <= aim {
        Prospect::InTime
    } else if end <= due + span * WORTHLESS_SPANS {
        Prospect::Late
    } else {
        Prospect::Worthless
    };
    let remaining = remaining_share(durations, job, time);
    Urgency { priority: job.priority, prospect, remaining, aim }
}

/// The work that is left at a time of a job over what the job counts, in hundredths.
///
/// A job counts by its work, and in part as any other of its queue. So what is nearly done is finished first, and of
/// those that are not begun the small ones go before large ones: more jobs are done in time with the same
/// processors.
fn remaining_share(durations: &Durations, job: &Job, time: usize) -> u64 {
    let total = durations.work(job, time, |_| true);
    let remaining = durations.work(job, time, |task| !task.done);
    let mean = durations.mean_work(&job.queue).unwrap_or(total);
    let value = FIXED_VALUE_SHARE * mean + (1.0 - FIXED_VALUE_SHARE) * total;
    (remaining * 100.0 / value.max(1.0)) as u64
}

/// The longest chain of estimates through the steps that are not done, in milliseconds.
fn remaining_ms(job: &Job, time: usize, takes_ms: impl Fn(&Step) -> u64) -> u64 {
    let Some(steps) = job.times.get(time) else { return 0 };
    let unfinished =
        |i: usize| steps.get(i).is_some_and(|tasks| tasks.iter().any(|task| !task.done));
    longest_chain(&job.spec.steps, |i, step| if unfinished(i) { takes_ms(step) } else { 0 })
}
