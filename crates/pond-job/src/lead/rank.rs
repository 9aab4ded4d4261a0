//! Ranking of workers for the tasks of a group, and memory of demands that no worker can meet.
//!
//! All waiting tasks of a step are alike, and similar steps recur often. So workers are scored once
//! for a group, and after each placement only the changed one is scored again. A demand that could
//! not be met is not tried again in the same plan, since workers only get fuller while a plan is
//! made.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::Size;

use super::Leader;
use super::candidate::Candidate;
use super::image::Image;
use super::interference::Impact;
use super::obstacle::Obstacles;
use super::ready::Group;
use super::speed::depends_on_speed;

/// Quality of a placement, higher is better: whether the worker is not slow, as far as the task
/// depends on that, whether it is considered healthy, then the score of the candidate.
type Key = (bool, bool, (bool, i64, i64));

/// Scores of all workers for the tasks of a group.
pub(super) struct Ranking<'a> {
    leader: &'a Leader,
    now: Millis,
    group: &'a Group<'a>,
    impact: Impact,
    /// Scores in the order of the candidates; `None` where a task may not run now.
    keys: Vec<Option<Key>>,
}

impl<'a> Ranking<'a> {
    /// Scores all workers.
    pub fn new(
        leader: &'a Leader,
        now: Millis,
        group: &'a Group<'a>,
        candidates: &[Candidate],
    ) -> Ranking<'a> {
        let impact = leader.interference.impact(group.image);
        let mut ranking = Ranking { leader, now, group, impact, keys: Vec::new() };
        ranking.keys = candidates.iter().map(|candidate| ranking.key(candidate)).collect();
        ranking
    }

    /// Scores a worker again after an assignment.
    pub fn update(&mut self, index: usize, candidates: &[Candidate]) {
        self.keys[index] = self.key(&candidates[index]);
    }

    /// Returns the index of the best worker for a task, the first of equals; `None` if it may run
    /// nowhere now. Workers on which the task failed come last.
    pub fn best(
        &self,
        avoided: Option<&BTreeSet<String>>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let mut best: Option<((bool, Key), usize)> = None;
        for (index, key) in self.keys.iter().enumerate() {
            let Some(key) = *key else { continue };
            let failed = avoided
                .is_some_and(|incarnations| incarnations.contains(&candidates[index].incarnation));
            if best.is_none_or(|(other, _)| (!failed, key) > other) {
                best = Some(((!failed, key), index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn key(&self, candidate: &Candidate) -> Option<Key> {
        let Group { step, job, serving, .. } = self.group;
        // All tasks of the group are alike in this respect.
        let task = self.group.task(0);
        let fits = candidate.fits(&job.pool, task, step) && candidate.tolerates(step, &self.impact);
        if !fits || self.leader.lacks_ticket(self.now, self.group, task, &candidate.incarnation) {
            return None;
        }
        let interference = &self.leader.interference;
        let score = candidate.score(step, serving.as_ref(), interference, &self.impact);
        let slow = candidate.slow && depends_on_speed(step);
        Some((!slow, candidate.finite_allowance > 0, score))
    }
}

/// What a step requires of workers, without anything that is specific to a group.
#[derive(Clone, Copy, PartialEq)]
struct Demand<'a> {
    pool: &'a str,
    label: &'a str,
    size: Size,
    image: Image,
    best_effort: bool,
    long_running: bool,
    /// Capacity of the pool to leave free, in thousandths of a processor.
    wanted_milli_cpu: u64,
}

impl<'a> Demand<'a> {
    /// Returns the demand of a group; `None` if its placement depends on more than that: on where
    /// its other tasks run, on an adviser, or on the placement of all its tasks together.
    fn of(group: &Group<'a>) -> Option<Demand<'a>> {
        let Group { step, job, .. } = group;
        if step.gang || step.max_per_worker > 0 || job.advice.is_some() {
            return None;
        }
        Some(Demand {
            pool: &job.pool,
            label: &step.required_label,
            size: step.size(),
            image: group.image,
            best_effort: step.best_effort,
            long_running: step.long_running,
            wanted_milli_cpu: group.wanted_milli_cpu,
        })
    }

    /// Returns whether no worker can meet this demand if none can meet another.
    fn includes(&self, other: &Demand<'a>) -> bool {
        let leaving_more = Demand { wanted_milli_cpu: self.wanted_milli_cpu, ..*other };
        *self == leaving_more && self.wanted_milli_cpu >= other.wanted_milli_cpu
    }
}

/// Demands that could not be met in a plan.
#[derive(Default)]
pub(super) struct Rejections<'a> {
    demands: Vec<(Demand<'a>, Obstacles)>,
}

impl<'a> Rejections<'a> {
    /// Returns the obstacles of a group with the same demand; `None` if no such demand was
    /// rejected.
    pub fn obstacles(&self, group: &Group<'a>) -> Option<Obstacles> {
        let demand = Demand::of(group)?;
        let found = self.demands.iter().find(|(other, _)| demand.includes(other));
        found.map(|(_, obstacles)| obstacles.clone())
    }

    /// Records that a group could not be placed.
    pub fn record(&mut self, group: &Group<'a>, obstacles: &Obstacles) {
        let Some(demand) = Demand::of(group) else { return };
        if !self.demands.iter().any(|(other, _)| demand.includes(other)) {
            self.demands.push((demand, obstacles.clone()));
        }
    }
}
