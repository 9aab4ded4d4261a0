//! Groups of tasks that wait for placement, in the order in which they are placed.

mod urgency;
mod wanted;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::job::{Step, TaskName};

use crate::job::{Job, Task};
use crate::lead::colocation::ServingLoad;
use crate::lead::demand::Demand;
use crate::lead::duration::Durations;
use crate::lead::image::Image;
use crate::lead::interference::Interference;
use crate::state::State;

use urgency::{Urgency, urgency};

pub(super) use urgency::{WORTHLESS_SPANS, remaining_ms};
use wanted::wanted_milli_cpu;

pub use urgency::Prospect;
pub(super) use urgency::prospect;

/// A group of tasks whose turn has come.
pub(super) struct Group<'a> {
    /// Sort key; the lowest is placed first.
    pub urgency: Urgency,
    /// Id of the job.
    pub id: u64,
    /// Index of the repetition of the job.
    pub repetition: usize,
    /// Index of the step.
    pub step_index: usize,
    /// Specification of the step.
    pub step: &'a Step,
    /// The job.
    pub job: &'a Job,
    /// Image of the tasks.
    pub image: Image,
    /// Expected load of one of its tasks if they serve; `None` otherwise.
    pub serving: Option<ServingLoad>,
    /// Processors of the pool that its tasks leave free for useful jobs, in thousandths of a
    /// processor; zero if its own job is useful.
    pub wanted_milli_cpu: u64,
}

impl<'a> Group<'a> {
    /// Returns all tasks of the group, including those that are placed or done.
    pub fn tasks(&self) -> &'a [Task] {
        &self.job.repetitions[self.repetition][self.step_index]
    }

    /// Returns the name of a task of the group.
    pub fn task(&self, index: usize) -> TaskName {
        TaskName {
            job: self.id,
            repetition: self.repetition as u32,
            step: self.step_index as u32,
            index: index as u32,
        }
    }
}

/// Returns the groups whose turn has come and that have unplaced tasks, most urgent first.
pub(super) fn ready<'a>(
    state: &'a State,
    now: Millis,
    wall: Millis,
    interference: &mut Interference,
    durations: &Durations,
    demand: &Demand,
    overloaded: &BTreeMap<String, u32>,
) -> Vec<Group<'a>> {
    let mut ready = Vec::new();
    for (id, job) in state.active().filter(|(_, job)| !job.phase.ended()) {
        for (repetition, steps) in job.repetitions.iter().enumerate() {
            if job.spec.repeat.is_some() && wall < job.due(repetition) {
                continue;
            }
            // The same for all steps of a repetition; a job may have thousands of them.
            let mut common: Option<(bool, Urgency)> = None;
            for (step_index, (step, tasks)) in job.spec.steps.iter().zip(steps).enumerate() {
                if tasks.iter().any(Task::is_pending) && job.is_step_ready(repetition, step_index) {
                    let (short, urgency) = *common.get_or_insert_with(|| {
                        let short = job.is_short();
                        let lowest = overloaded.get(&job.pool);
                        let overloaded = short && lowest.is_some_and(|from| job.priority >= *from);
                        let urgency =
                            urgency(id, state, durations, job, repetition, wall, overloaded);
                        (short, urgency)
                    });
                    let serving = interference.new_serving(now, step);
                    let image = interference.image(&step.image);
                    let wanted = if urgency.yields() && short {
                        let task_ms = durations.expected_ms(job.queue_key(), step);
                        wanted_milli_cpu(state, now, demand, job, task_ms)
                    } else {
                        0
                    };
                    // The offered load decays after the last arrival but never ends. Jobs that want
                    // less than one such task are not expected.
                    let expected = wanted >= u64::from(step.milli_cpu);
                    let wanted_milli_cpu = if expected { wanted } else { 0 };
                    ready.push(Group {
                        urgency,
                        id,
                        repetition,
                        step_index,
                        step,
                        job,
                        image,
                        serving,
                        wanted_milli_cpu,
                    });
                }
            }
        }
    }
    ready.sort_by_key(|group| (group.urgency, group.id, group.repetition, group.step_index));
    pack(&mut ready);
    ready
}

/// Sorts serving groups of equal priority so that they pack well: image by image, the image with
/// the largest request first, so that each image shares only its last worker with the next one.
/// Within an image large tasks go first, as small ones fill the remaining gaps.
fn pack(ready: &mut [Group<'_>]) {
    let mut requested: BTreeMap<String, u64> = BTreeMap::new();
    for group in ready.iter().filter(|group| group.serving.is_some()) {
        let waiting = group.tasks().iter().filter(|task| task.is_pending()).count() as u64;
        let milli_cpu = u64::from(group.step.milli_cpu);
        *requested.entry(group.step.image.clone()).or_default() += waiting * milli_cpu;
    }
    ready.sort_by_key(|group| {
        let image = group.step.image.as_str();
        let order = group.serving.is_some().then(|| {
            let requested = requested.get(image).copied().unwrap_or(0);
            (Reverse(requested), image, Reverse(group.step.milli_cpu))
        });
        // `None` sorts before `Some`, and serving groups go first.
        (group.urgency.priority, Reverse(order.is_some()), order)
    });
}
