//! Jobs with tasks whose turn has come and that find no place: since when they wait, since when nothing
//! of them runs, and a line for each, bounded in number.

use pond_proto::job::Phase;
use pond_proto::{Millis, Span};

use super::obstacle::Obstacles;
use super::overdue::MAX_WAIT_MS;
use super::plan::{DISCOVERY_MS, REPORT_VALID_MS};
use super::ready::Ready;
use super::{Decision, Leader, Output};
use crate::job::Job;
use crate::state::State;

/// A job that waits gets a line at most this often, in milliseconds, the first after as long.
const LOG_INTERVAL_MS: Span = 1_000;

/// Lines in one plan at most. There are about ten plans a second, so a long queue does not flood
/// the log.
const MAX_LOG_LINES: usize = 4;

/// What a new leader counts at most of the time before it led, in milliseconds. The rest of the
/// patience is for workers to report, so that nothing is tried only because they are not known yet.
const MAX_INHERITED_WAIT_MS: Span = MAX_WAIT_MS - DISCOVERY_MS;

/// Since when a job waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// Since when tasks of it find no place.
    pub since: Millis,
    /// Since when nothing of it runs besides; none while something does.
    pub starved_since: Option<Millis>,
    logged_at: Millis,
}

impl Wait {
    /// Of a job that is seen waiting for the first time. One that was never begun has waited since it
    /// was accepted, whoever led; of others only the former leader knew.
    fn new(now: Millis, wall: Millis, job: &Job) -> Wait {
        let started = job.phase != Phase::Queued || job.spec.repeat.is_some();
        let waited = if started { 0 } else { wall.since(job.at).min(MAX_INHERITED_WAIT_MS) };
        let since = Millis(now.0.saturating_sub(waited));
        Wait { since, starved_since: Some(since), logged_at: now }
    }

    /// Of a job whose runs went down with a worker that was last known to live then.
    pub fn after_loss(now: Millis, last_alive: Millis) -> Wait {
        Wait { since: last_alive, starved_since: Some(last_alive), logged_at: now }
    }

    /// For how long nothing of the job has run, in milliseconds.
    pub fn starved_ms(&self, now: Millis) -> Span {
        self.starved_since.map_or(0, |since| now.since(since))
    }
}

impl Leader {
    /// Keeps since when jobs wait and stand still, and logs what is in the way. What is known of the
    /// groups that the plan did not reach stays as it is.
    pub(super) fn note_waits<'a>(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        blocked: &[(&Ready<'_>, Obstacles)],
        unvisited: impl Iterator<Item = &'a Ready<'a>>,
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

    /// Whether a worker that answers has something of the job. A place in the replicated state is no
    /// proof that something runs: a worker that has fallen silent may be dead, and so may one of which
    /// only its agent tells.
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
        let tasks = job.times.iter().flatten().flatten();
        let mut incarnations = tasks.filter_map(|task| task.worker.as_deref());
        !self.knows_workers(state, now) || incarnations.any(answering)
    }

    fn log_wait(&mut self, now: Millis, group: &Ready<'_>, wait: Wait, obstacles: &Obstacles) {
        let waiting = group.tasks().iter().filter(|task| task.waits()).count();
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
