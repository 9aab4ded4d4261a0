//! What keeps workers from taking a task.

use std::collections::BTreeMap;

/// What keeps a worker from taking a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// Another pool, a missing label, or too many tasks of the step there.
    Unsuitable,
    /// Its data centre is evacuated.
    Evacuated,
    /// A task that may take down its worker has begun there, or the worker is kept for one.
    Suspect,
    /// The worker rests after failures.
    Backoff,
    /// The worker is being probed after a rest.
    Probing,
    /// Its room is taken.
    NoRoom,
    /// Its room is kept for a task that comes before.
    Reserved,
    /// What serves and fills there uses the processors.
    Busy,
    /// The adviser has given no ticket.
    NoTicket,
    /// Serving tasks there would miss their targets.
    Interference,
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
