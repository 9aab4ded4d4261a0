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
use super::overdue::MAX_WAIT_MS;
use super::plan::MAX_STARTS;
use super::ready::Ready;
use crate::change::Start;
use crate::job::Task;
use crate::suspicion::Suspicion;

/// Suspects get one of so many workers of a pool at a time, and one at least.
const WORKERS_PER_SUSPECT: usize = 3;

/// A suspect of one loss waits for a worker of its own for so long, in milliseconds; then it joins others.
const SOLO_WAIT_MS: Span = 1_000;

/// The same of more losses, which is likely the cause; and then others, and gangs, begin beside any work.
/// Users bear three seconds in which nothing of a job runs.
const MAX_SOLO_WAIT_MS: Span = 2_500;

/// A suspect waits so long for a worker that it is not expected to disturb, in milliseconds: a second less
/// than other work that only a belief keeps waiting, as it then waits for the worker to be in peace.
const INTERFERENCE_WAIT_MS: Span = MAX_WAIT_MS - 1_000;

/// Suspects that begin together on a worker at most: if it goes down, each of them begins alone the next
/// time.
const MAX_COLOCATED: usize = 4;

/// A worker beside an agent of which another went down no longer ago than this gets a suspect last, in
/// milliseconds: it may go down by itself.
const RECENT_CRASH_MS: Span = 10_000;

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
        groups.sort_by_key(|group| Reverse((most_suspicious(group), waited(group))));
        let mut slots = open_slots(candidates);
        for group in groups {
            for (index, task) in group.tasks().iter().enumerate().filter(|(_, task)| waits(task)) {
                if starts.len() >= MAX_STARTS {
                    return;
                }
                let free_slots = slots.entry(group.job.pool.clone()).or_default();
                let suspect = self.suspect(now, group, index);
                let found =
                    suspect.and_then(|suspect| self.worker_for(suspect, candidates, free_slots));
                let Some(found) = found else { continue };
                let name = group.task(index);
                candidates[found].assign(
                    name,
                    group.step,
                    group.image,
                    group.serving,
                    &self.interference,
                );
                candidates[found].assign_suspect(group.id);
                if suspect.is_some_and(|suspect| suspect.suspicion.repeated()) {
                    // Nobody joins what is likely the cause of several losses.
                    candidates[found].suspects = MAX_COLOCATED;
                }
                let run = RunName { task: name, number: task.run + 1 };
                starts.push(candidates[found].start(run));
            }
        }
    }

    /// The place for a suspect: beside others of its job that begin now, else a worker of its own, if one
    /// more may be given to suspects. If none is in peace yet, one is kept until it is. A suspect that has
    /// waited joins those of other jobs.
    fn worker_for(
        &self,
        suspect: Suspect<'_>,
        candidates: &mut [Candidate],
        free_slots: &mut usize,
    ) -> Option<usize> {
        let job = suspect.group.id;
        let colocated =
            self.best_worker(suspect, candidates, |candidate| candidate.has_suspects_of(job));
        if colocated.is_some() {
            return colocated;
        }
        if *free_slots > 0 {
            let isolated = self.isolated_worker(suspect, candidates);
            if isolated.is_some() {
                *free_slots -= 1;
                return isolated;
            }
            if let Some(held) =
                self.best_worker(suspect, candidates, |candidate| !candidate.closed())
            {
                *free_slots -= 1;
                candidates[held].hold_for_suspect();
            }
        }
        self.shared_worker(suspect, candidates)
    }

    /// Whether a task has to begin apart from other work. A suspect of one loss is most likely a bystander,
    /// and when many workers go down there are many of them: one that has waited for long goes with other
    /// work, as do gangs, which rarely find all their workers in peace at the same time.
    pub(super) fn needs_isolation(&self, now: Millis, group: &Ready<'_>, index: usize) -> bool {
        let Some(suspect) = self.suspect(now, group, index) else { return false };
        let may_share = group.step.gang || suspect.suspicion.likely <= 1;
        !may_share || suspect.waited_ms < MAX_SOLO_WAIT_MS
    }

    /// The place of a worker on which a suspect would be alone with what has worked for a while.
    pub(super) fn isolated_worker(
        &self,
        suspect: Suspect<'_>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        self.best_worker(suspect, candidates, |candidate| candidate.isolates(suspect.group.id))
    }

    /// The place of a worker on which a suspect begins together with others, once it has waited for long.
    fn shared_worker(&self, suspect: Suspect<'_>, candidates: &[Candidate]) -> Option<usize> {
        if suspect.suspicion.repeated() || suspect.waited_ms < SOLO_WAIT_MS {
            return None;
        }
        let joins = |candidate: &Candidate| {
            (1..MAX_COLOCATED).contains(&candidate.suspects) && candidate.planned
        };
        self.best_worker(suspect, candidates, joins)
    }

    /// The place of the best of those candidates for a suspect: none that it was lost on, none that went
    /// down of late, and with little at stake.
    fn best_worker(
        &self,
        suspect: Suspect<'_>,
        candidates: &[Candidate],
        allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let Suspect { now, group, task, suspicion, waited_ms } = suspect;
        let impact = self.interference.impact(group.image);
        // What is only believed of harm does not keep it waiting for long.
        let tolerate_interference = waited_ms >= INTERFERENCE_WAIT_MS;
        let suitable = |candidate: &Candidate| {
            allowed(candidate)
                && candidate.could_isolate(&group.job.pool, task, group.step, tolerate_interference)
                && (tolerate_interference || candidate.tolerates(group.step, &impact))
                && !self.lacks_ticket(now, group, task, &candidate.incarnation)
        };
        let crashed_recently = |agent: &str| {
            self.losses.last_crash(agent).is_some_and(|at| now.since(at) < RECENT_CRASH_MS)
        };
        let key = |candidate: &Candidate| {
            let lost_there = suspicion.agents.contains(&candidate.agent);
            (
                lost_there,
                crashed_recently(&candidate.agent),
                candidate.runs_at_risk(),
                Reverse(candidate.free.milli_cpu),
            )
        };
        let found = candidates.iter().enumerate().filter(|(_, candidate)| suitable(candidate));
        found.min_by_key(|(_, candidate)| key(candidate)).map(|(index, _)| index)
    }

    /// What keeps a suspect of a group waiting that the plan has not started; none if there is none.
    pub(super) fn suspect_obstacles(
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
fn most_suspicious(group: &Ready<'_>) -> u32 {
    let suspicions = group.tasks().iter().filter(|task| waits(task));
    let likely = suspicions.filter_map(|task| Some(task.suspicion.as_ref()?.likely));
    likely.max().unwrap_or(0)
}

/// Whether a task is a suspect that needs a worker.
fn waits(task: &Task) -> bool {
    task.waits() && task.suspect()
}

/// How many more workers of each pool may be given to suspects.
fn open_slots(candidates: &[Candidate]) -> BTreeMap<String, usize> {
    let mut pools: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| !candidate.evacuated) {
        let (all, closed) = pools.entry(candidate.pool.clone()).or_default();
        *all += 1;
        *closed += usize::from(candidate.closed());
    }
    let free =
        |(all, closed): (usize, usize)| (all / WORKERS_PER_SUSPECT).max(1).saturating_sub(closed);
    pools.into_iter().map(|(pool, counts)| (pool, free(counts))).collect()
}
