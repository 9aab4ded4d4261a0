//! Starts tasks that may have taken down workers, each apart from other work until it is cleared.
//!
//! A suspect begins on a worker on which everything else has worked for a while, and nothing but suspects of
//! its own job begins there until it has survived. So the worker's loss tells which job caused it, and a
//! bystander costs itself less than a second. Suspects go before all other work, as they ask for a worker in peace; they
//! get a part of the pool at a time, so that several of them cannot take all of it down at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::Leader;
use super::candidate::Candidate;
use super::obstacle::Obstacles;
use super::overdue::PATIENCE_MS;
use super::plan::STARTS;
use super::ready::Ready;
use crate::change::Start;
use crate::job::Task;
use crate::suspicion::Suspicion;

/// Suspects get one of so many workers of a pool at a time, and one at least.
const WORKERS_EACH: usize = 3;

/// A suspect of one loss waits for a worker of its own for so long, in milliseconds; then it joins others.
const ALONE_MS: Span = 1_000;

/// The same of more losses, which is likely the cause; and then others, and gangs, begin beside any work.
/// Users bear three seconds in which nothing of a job runs.
const LONG_ALONE_MS: Span = 2_500;

/// A suspect waits so long for a worker that it is not expected to disturb, in milliseconds: a second less
/// than other work that only a belief keeps waiting, as it then waits for the worker to be in peace.
const BOLD_MS: Span = PATIENCE_MS - 1_000;

/// Suspects that begin together on a worker at most: if it goes down, each of them begins alone the next
/// time.
const TOGETHER: usize = 4;

/// A worker beside an agent of which another went down no longer ago than this gets a suspect last, in
/// milliseconds: it may go down by itself.
const SHAKY_MS: Span = 10_000;

/// A suspect that waits for a place.
#[derive(Clone, Copy)]
pub(super) struct Suspect<'a> {
    now: Millis,
    group: &'a Ready<'a>,
    task: TaskName,
    suspicion: &'a Suspicion,
    /// How long its job has waited, in milliseconds.
    waited_ms: Span,
}

impl Leader {
    /// The task of a group as a suspect; none if it is none.
    pub(super) fn suspect<'a>(
        &self,
        now: Millis,
        group: &'a Ready<'a>,
        index: usize,
    ) -> Option<Suspect<'a>> {
        let suspicion = group.tasks()[index].suspicion.as_deref()?;
        let waited_ms = self.waits.get(&group.id).map_or(0, |wait| now.since(wait.since));
        let task = group.task(index);
        let suspect = Suspect { now, group, task, suspicion, waited_ms };
        Some(suspect).filter(|_| suspicion.suspect)
    }

    /// Starts the suspects whose turn has come, as far as there are workers to try them on.
    pub(super) fn place_suspects(
        &self,
        now: Millis,
        ready: &[Ready<'_>],
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) {
        let waiting = |group: &&Ready<'_>| !group.step.gang && group.tasks().iter().any(waits);
        let mut groups: Vec<&Ready<'_>> = ready.iter().filter(waiting).collect();
        if groups.is_empty() {
            return;
        }
        // Whoever is most likely the cause first, as it is soon given up; then who has waited for longest. By
        // urgency a job whose suspects are lost again and again would come first each time.
        let waited =
            |group: &Ready<'_>| self.waits.get(&group.id).map(|wait| now.since(wait.since));
        groups.sort_by_key(|group| Reverse((worst(group), waited(group))));
        let mut places = free_places(candidates);
        for group in groups {
            for (index, task) in group.tasks().iter().enumerate().filter(|(_, task)| waits(task)) {
                if starts.len() >= STARTS {
                    return;
                }
                let open = places.entry(group.job.pool.clone()).or_default();
                let suspect = self.suspect(now, group, index);
                let found = suspect.and_then(|suspect| self.place_for(suspect, candidates, open));
                let Some(found) = found else { continue };
                let name = group.task(index);
                candidates[found].take(name, group.step, group.image, group.served, &self.harm);
                candidates[found].take_suspect(group.id);
                if suspect.is_some_and(|suspect| suspect.suspicion.is_repeat_suspect()) {
                    // Nobody joins what is likely the cause of several losses.
                    candidates[found].suspects = TOGETHER;
                }
                let run = RunName { task: name, number: task.run + 1 };
                starts.push(candidates[found].start(run));
            }
        }
    }

    /// The place for a suspect: beside others of its job that begin now, else a worker of its own, if one
    /// more may be given to suspects. If none is in peace yet, one is kept until it is. A suspect that has
    /// waited joins those of other jobs.
    fn place_for(
        &self,
        suspect: Suspect<'_>,
        candidates: &mut [Candidate],
        open: &mut usize,
    ) -> Option<usize> {
        let job = suspect.group.id;
        let beside = self.best_for(suspect, candidates, |there| there.isolated(job));
        if beside.is_some() {
            return beside;
        }
        if *open > 0 {
            let alone = self.isolated(suspect, candidates);
            if alone.is_some() {
                *open -= 1;
                return alone;
            }
            if let Some(kept) = self.best_for(suspect, candidates, |there| !there.closed()) {
                *open -= 1;
                candidates[kept].reserve();
            }
        }
        self.company(suspect, candidates)
    }

    /// Whether a task has to begin apart from other work. A suspect of one loss is most likely a bystander,
    /// and when many workers go down there are many of them: one that has waited for long goes with other
    /// work, as do gangs, which rarely find all their workers in peace at the same time.
    pub(super) fn begins_apart(&self, now: Millis, group: &Ready<'_>, index: usize) -> bool {
        let Some(suspect) = self.suspect(now, group, index) else { return false };
        let patient = group.step.gang || suspect.suspicion.likely <= 1;
        !patient || suspect.waited_ms < LONG_ALONE_MS
    }

    /// The place of a worker on which a suspect would be alone with what has worked for a while.
    pub(super) fn isolated(&self, suspect: Suspect<'_>, candidates: &[Candidate]) -> Option<usize> {
        self.best_for(suspect, candidates, |there| there.isolates(suspect.group.id))
    }

    /// The place of a worker on which a suspect begins together with others, once it has waited for long.
    fn company(&self, suspect: Suspect<'_>, candidates: &[Candidate]) -> Option<usize> {
        if suspect.suspicion.is_repeat_suspect() || suspect.waited_ms < ALONE_MS {
            return None;
        }
        let joins = |there: &Candidate| (1..TOGETHER).contains(&there.suspects) && there.planned;
        self.best_for(suspect, candidates, joins)
    }

    /// The place of the best of those candidates for a suspect: none that it was lost on, none that went
    /// down of late, and with little at stake.
    fn best_for(
        &self,
        suspect: Suspect<'_>,
        candidates: &[Candidate],
        allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let Suspect { now, group, task, suspicion, waited_ms } = suspect;
        let column = self.harm.column(group.image);
        // What is only believed of harm does not keep it waiting for long.
        let bold = waited_ms >= BOLD_MS;
        let open = |there: &Candidate| {
            allowed(there)
                && there.could_isolate(&group.job.pool, task, group.step, bold)
                && (bold || there.bears(group.step, &column))
                && !self.lacks_ticket(now, group, task, &there.life)
        };
        let shaky =
            |agent: &str| self.losses.crashed(agent).is_some_and(|at| now.since(at) < SHAKY_MS);
        let key = |there: &Candidate| {
            let lost_there = suspicion.agents.contains(&there.agent);
            (lost_there, shaky(&there.agent), there.at_stake(), Reverse(there.free.milli_cpu))
        };
        let found = candidates.iter().enumerate().filter(|(_, there)| open(there));
        found.min_by_key(|(_, there)| key(there)).map(|(place, _)| place)
    }

    /// What keeps a suspect of a group waiting that the plan has not started; none if there is none.
    pub(super) fn suspect_waits(
        &self,
        now: Millis,
        group: &Ready<'_>,
        candidates: &[Candidate],
        starts: &[Start],
    ) -> Option<Obstacles> {
        let placed = |task: TaskName| starts.iter().any(|start| start.run.task == task);
        let tasks = group.tasks().iter().enumerate();
        let names = tasks.filter(|(_, task)| waits(task)).map(|(index, _)| group.task(index));
        let name = names.into_iter().find(|name| !placed(*name))?;
        Some(self.obstacles(now, group, name, candidates))
    }
}

/// How often the most suspicious task of a group that waits was likely the cause of a loss.
fn worst(group: &Ready<'_>) -> u32 {
    let suspicions = group.tasks().iter().filter(|task| waits(task));
    let likely = suspicions.filter_map(|task| Some(task.suspicion.as_ref()?.likely));
    likely.max().unwrap_or(0)
}

/// Whether a task is a suspect that needs a worker.
fn waits(task: &Task) -> bool {
    task.is_pending() && task.is_suspect()
}

/// How many more workers of each pool may be given to suspects.
fn free_places(candidates: &[Candidate]) -> BTreeMap<String, usize> {
    let mut pools: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| !candidate.evacuated) {
        let (all, closed) = pools.entry(candidate.pool.clone()).or_default();
        *all += 1;
        *closed += usize::from(candidate.closed());
    }
    let free = |(all, closed): (usize, usize)| (all / WORKERS_EACH).max(1).saturating_sub(closed);
    pools.into_iter().map(|(pool, counts)| (pool, free(counts))).collect()
}
