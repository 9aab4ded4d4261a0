//! Why tasks whose turn has come wait: a line for each job that waits, bounded in number.

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

use super::ready::Ready;
use super::{Decision, Leader, Output};
use crate::state::State;

/// A job that waits gets a line at most this often, in milliseconds, the first after as long.
const LINE_MS: Span = 1_000;

/// Lines in one plan at most. There are about ten plans a second, so a long queue does not flood
/// the log.
const LINES: usize = 4;

/// What keeps a worker from taking a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// Another pool, a missing label, or too many tasks of the step there.
    Elsewhere,
    /// The worker rests or is being probed after failures.
    Resting,
    /// Its room is taken.
    NoRoom,
    /// Its room is kept for a task that comes before.
    Kept,
    /// What serves and fills there uses the processors.
    Busy,
    /// The adviser has given no ticket.
    NoTicket,
    /// Serving tasks there would miss their targets.
    Harm,
}

/// How many workers cannot take a task, by what is in the way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Obstacles {
    counts: BTreeMap<Obstacle, usize>,
}

impl FromIterator<Obstacle> for Obstacles {
    fn from_iter<I: IntoIterator<Item = Obstacle>>(obstacles: I) -> Obstacles {
        let mut counts: BTreeMap<Obstacle, usize> = BTreeMap::new();
        for obstacle in obstacles {
            *counts.entry(obstacle).or_default() += 1;
        }
        Obstacles { counts }
    }
}

impl Obstacles {
    /// How many workers this keeps from taking the task.
    pub fn count(&self, obstacle: Obstacle) -> usize {
        self.counts.get(&obstacle).copied().unwrap_or(0)
    }
}

/// Since when a job has waited, and when that was last logged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub since: Millis,
    logged: Millis,
}

impl Leader {
    /// Keeps since when jobs wait, and logs what is in the way.
    pub(super) fn note_waits(
        &mut self,
        state: &State,
        now: Millis,
        blocked: &[(&Ready<'_>, Obstacles)],
    ) {
        let known = std::mem::take(&mut self.waits);
        let mut lines = 0;
        for (group, obstacles) in blocked {
            let new = Wait { since: now, logged: now };
            let mut wait = known.get(&group.id).copied().unwrap_or(new);
            if lines < LINES && now.since(wait.logged) >= LINE_MS {
                wait.logged = now;
                lines += 1;
                self.log_wait(state, now, group, wait, obstacles);
            }
            self.waits.insert(group.id, wait);
        }
    }

    fn log_wait(
        &mut self,
        state: &State,
        now: Millis,
        group: &Ready<'_>,
        wait: Wait,
        obstacles: &Obstacles,
    ) {
        let waiting = group.tasks().iter().filter(|task| task.waits()).count();
        let decision = Decision::Waiting {
            job: group.id,
            step: group.step_index,
            tasks: waiting,
            placed: state.job(group.id).map_or(0, |job| job.placed),
            since_ms: now.since(wait.since),
            image: group.step.image.clone(),
            obstacles: obstacles.clone(),
        };
        self.outputs.push(Output::Decided(decision));
    }
}
