//! Waiting times of jobs that have tasks whose turn has come but that cannot be placed. Each such
//! job is logged, with a limit on the number of log lines.

use pond_proto::job::Phase;
use pond_proto::{Millis, Span};

use super::obstacle::Obstacles;
use super::overdue::MAX_WAIT_MS;
use super::plan::{DISCOVERY_MS, REPORT_VALID_MS};
use super::ready::Group;
use super::{Decision, Leader, Output};
use crate::job::Job;
use crate::state::State;

/// Minimum interval between the log lines of a waiting job, and delay of its first one, in
/// milliseconds.
const LOG_INTERVAL_MS: Span = 1_000;

/// Maximum number of log lines per plan. There are about ten plans per second, so a long queue does
/// not flood the log.
const MAX_LOG_LINES: usize = 4;

/// Maximum waiting time before its own term that a new leader counts, in milliseconds. The rest of
/// the maximum wait is left for workers to report, so that no placement is forced only because they
/// are not known yet.
const MAX_INHERITED_WAIT_MS: Span = MAX_WAIT_MS - DISCOVERY_MS;

/// Waiting time of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// Since when tasks of the job could not be placed.
    pub since: Millis,
    /// Since when no task of the job has been running; `None` while one is.
    pub starved_since: Option<Millis>,
    logged_at: Millis,
}

impl Wait {
    /// Creates the entry for a job that is seen waiting for the first time. A job that has never
    /// started has waited since it was accepted, whichever replica led; for others only the former
    /// leader knew.
    fn new(now: Millis, wall: Millis, job: &Job) -> Wait {
        let started = job.phase != Phase::Queued || job.spec.repeat.is_some();
        let waited =
            if started { 0 } else { wall.since(job.submitted_at).min(MAX_INHERITED_WAIT_MS) };
        let since = Millis(now.0.saturating_sub(waited));
        Wait { since, starved_since: Some(since), logged_at: now }
    }

    /// Creates the entry for a job whose runs were lost with a worker that was last known to be
    /// alive at `last_alive`.
    pub fn after_loss(now: Millis, last_alive: Millis) -> Wait {
        Wait { since: last_alive, starved_since: Some(last_alive), logged_at: now }
    }

    /// Returns for how long no task of the job has been running, in milliseconds.
    pub fn starved_ms(&self, now: Millis) -> Span {
        self.starved_since.map_or(0, |since| now.since(since))
    }
}

impl Leader {
    /// Updates since when jobs have been waiting and starved, and logs their obstacles. The entries
    /// of groups that the plan did not visit are kept.
    pub(super) fn update_waits<'a>(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        blocked: &[(&Group<'_>, Obstacles)],
        unvisited: impl Iterator<Item = &'a Group<'a>>,
    ) {
        let previous = std::mem::take(&mut self.waits);
        let carried_over =
            unvisited.filter_map(|group| Some((group.id, *previous.get(&group.id)?)));
        self.waits.extend(carried_over);
        let mut lines = 0;
        for (group, obstacles) in blocked {
            let earlier = previous.get(&group.id).copied();
            let mut wait = earlier.unwrap_or_else(|| Wait::new(now, wall, group.job));
            if self.runs_somewhere(state, now, group.job) {
                wait.starved_since = None;
            } else if earlier.is_some() {
                wait.starved_since.get_or_insert(now);
            }
            if lines < MAX_LOG_LINES && now.since(wait.logged_at) >= LOG_INTERVAL_MS {
                wait.logged_at = now;
                lines += 1;
                self.log_wait(now, group, wait, obstacles);
            }
            self.waits.insert(group.id, wait);
        }
    }

    /// Returns whether a responsive worker has a task of the job. A placement in the replicated
    /// state does not show that a task is running: a silent worker may be dead, and so may one that
    /// only its agent reports on.
    fn runs_somewhere(&self, state: &State, now: Millis, job: &Job) -> bool {
        if job.placed == 0 {
            return false;
        }
        let answering = |incarnation: &str| {
            let worker = self.workers.get(incarnation);
            worker.is_some_and(|worker| {
                worker.answers && now.since(worker.reported_at) <= REPORT_VALID_MS
            })
        };
        let tasks = job.repetitions.iter().flatten().flatten();
        let mut incarnations = tasks.filter_map(|task| task.worker.as_deref());
        !self.knows_workers(state, now) || incarnations.any(answering)
    }

    fn log_wait(&mut self, now: Millis, group: &Group<'_>, wait: Wait, obstacles: &Obstacles) {
        let waiting = group.tasks().iter().filter(|task| task.is_pending()).count();
        let decision = Decision::Waiting {
            job: group.id,
            step: group.step_index,
            tasks: waiting,
            placed: group.job.placed,
            waited_ms: now.since(wait.since),
            starved_ms: wait.starved_ms(now),
            image: group.step.image.clone(),
            obstacles: obstacles.clone(),
        };
        self.outputs.push(Output::Decided(decision));
    }
}
