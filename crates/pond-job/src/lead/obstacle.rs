//! Obstacles that keep workers from taking a task.

use std::collections::BTreeMap;

/// An obstacle that keeps a worker from taking a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// The worker is in another pool, lacks a label, or has too many tasks of the step.
    Unsuitable,
    /// Its data centre is evacuated.
    Evacuated,
    /// A task that may take down its worker has just started there, or the worker is held for one.
    Suspect,
    /// The worker is in backoff after failures.
    Backoff,
    /// The worker is being probed after a backoff.
    Probing,
    /// Its capacity is occupied.
    NoRoom,
    /// Its capacity is reserved for a task that has precedence.
    Reserved,
    /// Short tasks of the pool are entitled to the capacity.
    Entitled,
    /// Serving and best-effort tasks use the processors.
    Busy,
    /// The adviser has issued no ticket.
    NoTicket,
    /// The task is of little use, and jobs that can be in time are expected to want the capacity.
    Wanted,
    /// Serving tasks on the worker would miss their targets.
    Interference,
}

/// Number of workers that cannot take a task, by obstacle.
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
    /// Returns how many workers have this obstacle.
    pub fn count(&self, obstacle: Obstacle) -> usize {
        self.counts.get(&obstacle).copied().unwrap_or(0)
    }
}
