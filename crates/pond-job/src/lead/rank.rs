//! Which workers suit the tasks of a group, best first, and for which groups no worker has a place.
//!
//! All waiting tasks of a step are alike, and steps of a kind come again and again. So workers are
//! weighed once for a group, and after each placement only the one that changed; and what found no
//! place in a plan is not weighed again for the next group that asks for the same, as workers only
//! get fuller while a plan goes on.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::Size;

use super::Leader;
use super::candidate::Candidate;
use super::image::Image;
use super::interference::Impact;
use super::obstacle::Obstacles;
use super::ready::Ready;

/// How well a task stands on a worker, higher is better: whether the worker is taken for sound, then
/// the score of the candidate.
type Key = (bool, (bool, i64, i64));

/// How well the tasks of a group stand on each worker.
pub(super) struct Ranking<'a> {
    leader: &'a Leader,
    now: Millis,
    group: &'a Ready<'a>,
    impact: Impact,
    /// In the order of the candidates; none where a task may not run now.
    keys: Vec<Option<Key>>,
}

impl<'a> Ranking<'a> {
    /// Weighs all workers.
    pub fn new(
        leader: &'a Leader,
        now: Millis,
        group: &'a Ready<'a>,
        candidates: &[Candidate],
    ) -> Ranking<'a> {
        let impact = leader.interference.impact(group.image);
        let mut ranking = Ranking { leader, now, group, impact, keys: Vec::new() };
        ranking.keys = candidates.iter().map(|candidate| ranking.key(candidate)).collect();
        ranking
    }

    /// Weighs a worker anew that was given something.
    pub fn update(&mut self, index: usize, candidates: &[Candidate]) {
        self.keys[index] = self.key(&candidates[index]);
    }

    /// The place of the best worker for a task, the first of equals; those that the task failed on come
    /// last. None if it may run nowhere now.
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
        let Ready { step, job, serving, .. } = self.group;
        // All tasks of the group are alike here.
        let task = self.group.task(0);
        let fits = candidate.fits(&job.pool, task, step) && candidate.tolerates(step, &self.impact);
        if !fits || self.leader.lacks_ticket(self.now, self.group, task, &candidate.incarnation) {
            return None;
        }
        let interference = &self.leader.interference;
        let score = candidate.score(step, serving.as_ref(), interference, &self.impact);
        Some((candidate.finite_allowance > 0, score))
    }
}

/// What a step asks of workers, and nothing that tells one group from another.
#[derive(Clone, Copy, PartialEq)]
struct Demand<'a> {
    pool: &'a str,
    label: &'a str,
    size: Size,
    image: Image,
    fills: bool,
    lasting: bool,
}

impl<'a> Demand<'a> {
    /// The wish of a group; none if whether it finds a place hangs on more than that: on what of it
    /// runs where, on an adviser, on all of its tasks together.
    fn of(group: &Ready<'a>) -> Option<Demand<'a>> {
        let Ready { step, job, .. } = group;
        if step.gang || step.most_per_worker > 0 || job.advice.is_some() {
            return None;
        }
        Some(Demand {
            pool: &job.pool,
            label: &step.required_label,
            size: step.size(),
            image: group.image,
            fills: step.fills,
            lasting: step.lasting,
        })
    }
}

/// The wishes for which a plan has found no place.
#[derive(Default)]
pub(super) struct Rejections<'a> {
    demands: Vec<(Demand<'a>, Obstacles)>,
}

impl<'a> Rejections<'a> {
    /// What was in the way of a group that wished for the same; none if none was in vain.
    pub fn obstacles(&self, group: &Ready<'a>) -> Option<Obstacles> {
        let demand = Demand::of(group)?;
        let found = self.demands.iter().find(|(other, _)| *other == demand);
        found.map(|(_, obstacles)| obstacles.clone())
    }

    /// A group found no place.
    pub fn note(&mut self, group: &Ready<'a>, obstacles: &Obstacles) {
        let Some(demand) = Demand::of(group) else { return };
        if !self.demands.iter().any(|(other, _)| *other == demand) {
            self.demands.push((demand, obstacles.clone()));
        }
    }
}
