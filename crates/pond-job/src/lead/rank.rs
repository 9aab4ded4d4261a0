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
use super::harm::Column;
use super::image::Image;
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
    column: Column,
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
        let column = leader.harm.column(group.image);
        let mut ranking = Ranking { leader, now, group, column, keys: Vec::new() };
        ranking.keys = candidates.iter().map(|candidate| ranking.key(candidate)).collect();
        ranking
    }

    /// Weighs a worker anew that was given something.
    pub fn update(&mut self, place: usize, candidates: &[Candidate]) {
        self.keys[place] = self.key(&candidates[place]);
    }

    /// The place of the best worker for a task, the first of equals; those that the task failed on come
    /// last. None if it may run nowhere now.
    pub fn best(
        &self,
        avoided: Option<&BTreeSet<String>>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let mut best: Option<((bool, Key), usize)> = None;
        for (place, key) in self.keys.iter().enumerate() {
            let Some(key) = *key else { continue };
            let failed = avoided.is_some_and(|lives| lives.contains(&candidates[place].life));
            if best.is_none_or(|(other, _)| (!failed, key) > other) {
                best = Some(((!failed, key), place));
            }
        }
        best.map(|(_, place)| place)
    }

    fn key(&self, candidate: &Candidate) -> Option<Key> {
        let Ready { step, job, served, .. } = self.group;
        // All tasks of the group are alike here.
        let task = self.group.task(0);
        let fits = candidate.fits(&job.pool, task, step) && candidate.bears(step, &self.column);
        if !fits || self.leader.lacks_ticket(self.now, self.group, task, &candidate.life) {
            return None;
        }
        let harm = &self.leader.harm;
        let score = candidate.score(step, served.as_ref(), harm, &self.column);
        Some((candidate.more > 0, score))
    }
}

/// What a step asks of workers, and nothing that tells one group from another.
#[derive(Clone, Copy, PartialEq)]
struct Wish<'a> {
    pool: &'a str,
    label: &'a str,
    size: Size,
    image: Image,
    fills: bool,
    lasting: bool,
}

impl<'a> Wish<'a> {
    /// The wish of a group; none if whether it finds a place hangs on more than that: on what of it
    /// runs where, on an adviser, on all of its tasks together.
    fn of(group: &Ready<'a>) -> Option<Wish<'a>> {
        let Ready { step, job, .. } = group;
        if step.gang || step.most_per_worker > 0 || job.advice.is_some() {
            return None;
        }
        Some(Wish {
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
pub(super) struct Full<'a> {
    wishes: Vec<(Wish<'a>, Obstacles)>,
}

impl<'a> Full<'a> {
    /// What was in the way of a group that wished for the same; none if none was in vain.
    pub fn obstacles(&self, group: &Ready<'a>) -> Option<Obstacles> {
        let wish = Wish::of(group)?;
        let found = self.wishes.iter().find(|(other, _)| *other == wish);
        found.map(|(_, obstacles)| obstacles.clone())
    }

    /// A group found no place.
    pub fn note(&mut self, group: &Ready<'a>, obstacles: &Obstacles) {
        let Some(wish) = Wish::of(group) else { return };
        if !self.wishes.iter().any(|(other, _)| *other == wish) {
            self.wishes.push((wish, obstacles.clone()));
        }
    }
}
