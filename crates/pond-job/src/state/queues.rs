//! Assignment of jobs to the queues of the configuration in force.

use std::collections::BTreeMap;

use pond_proto::job::{Phase, TaskName};

use super::State;
use crate::change::Reply;
use crate::configuration::{Configuration, Queue};
use crate::job::Job;
use crate::origin::Origin;

/// The queues of a configuration by host.
struct Queues<'a>(BTreeMap<&'a str, Vec<&'a Queue>>);

impl<'a> Queues<'a> {
    fn new(configuration: &'a Configuration) -> Queues<'a> {
        let mut hosts: BTreeMap<&str, Vec<&Queue>> = BTreeMap::new();
        for queue in &configuration.queues {
            hosts.entry(&queue.host).or_default().push(queue);
        }
        Queues(hosts)
    }

    /// Returns the queue for an origin, see [`Configuration::queue_for`].
    fn queue_for(&self, origin: &Origin) -> Option<&'a Queue> {
        let queues = self.0.get(origin.host()).into_iter().flatten().copied();
        let matching = queues.filter(|queue| origin.path().starts_with(&queue.prefix));
        matching.max_by_key(|queue| queue.prefix.len())
    }
}

impl State {
    /// Replaces the configuration by a newer one, and assigns the jobs to its queues.
    pub(super) fn configure(&mut self, configuration: Configuration) -> Reply {
        let current = self.configuration.as_ref().map(|current| current.version);
        if current.is_some_and(|current| configuration.version <= current) {
            return Reply::Accepted;
        }
        self.configuration = Some(configuration);
        let (reassigned, ended) = self.assign_queues();
        if reassigned == 0 && ended.is_empty() {
            return Reply::Accepted;
        }
        Reply::Configured { reassigned, ended }
    }

    /// Assigns each job to the queue that its host and path belong to. Runs that are placed stay where they are. A job
    /// whose queue was removed keeps what the queue said, as it has been accepted and must be done. Returns how many
    /// jobs have another queue or pool now, and the jobs that have ended because they have no attempts left.
    fn assign_queues(&mut self) -> (usize, Vec<(u64, Phase)>) {
        let Some(configuration) = &self.configuration else { return (0, Vec::new()) };
        let queues = Queues::new(configuration);
        let (mut reassigned, mut with_fewer_attempts) = (0, Vec::new());
        for id in &self.active {
            let Some(job) = self.jobs.get_mut(id).filter(|job| !job.phase.ended()) else {
                continue;
            };
            let queue = job.origin.as_ref().and_then(|origin| queues.queue_for(origin));
            let Some(queue) = queue else { continue };
            if job.queue_key() != queue.key() || job.pool != queue.pool {
                reassigned += 1;
            }
            let max_attempts = job.max_attempts;
            job.assign(queue);
            if job.max_attempts < max_attempts {
                with_fewer_attempts.push(*id);
            }
        }
        let ended = with_fewer_attempts.into_iter().filter_map(|id| self.fail_if_exhausted(id));
        (reassigned, ended.collect())
    }

    /// Fails a job if one of its tasks that has no placed run has no attempts left.
    fn fail_if_exhausted(&mut self, id: u64) -> Option<(u64, Phase)> {
        let names = task_names(id, self.jobs.get(&id)?);
        names.into_iter().for_each(|name| self.settle_task(name));
        self.update_phase(id)
    }

    /// Derives the origins of jobs that lack one from the names of their queues, where these are unique.
    pub(super) fn infer_origins(&mut self) {
        let Some(configuration) = &self.configuration else { return };
        let mut inferred = false;
        for id in &self.active {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.origin.is_none()) else {
                continue;
            };
            let mut named = configuration.queues.iter().filter(|queue| queue.name == job.queue);
            // Of several queues with one name, none is certain to be that of the job.
            let (Some(queue), None) = (named.next(), named.next()) else { continue };
            job.origin = Some(Origin::new(&queue.host, &queue.prefix, queue));
            inferred = true;
        }
        if inferred {
            self.assign_queues();
        }
    }
}

/// Returns the names of all tasks of a job.
fn task_names(id: u64, job: &Job) -> Vec<TaskName> {
    let steps = job.repetitions.iter().zip(0..).flat_map(|(steps, repetition)| {
        steps.iter().zip(0..).map(move |(tasks, step)| (repetition, step, tasks.len()))
    });
    let tasks = steps.flat_map(|(repetition, step, tasks)| {
        (0..tasks as u32).map(move |index| TaskName { job: id, repetition, step, index })
    });
    tasks.collect()
}
