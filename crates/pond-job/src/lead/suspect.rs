//! Placement of suspects: tasks that may have taken down workers. Each is isolated from other work
//! until it is cleared.
//!
//! A suspect starts on a worker on which everything else has run well for a while, and only
//! suspects of the same job may start there until it has survived. The loss of the worker then
//! identifies the job that caused it, and an innocent task loses less than a second. Suspects are
//! placed before all other work because they need a worker without recent starts. Only a part of
//! each pool is given to suspects at a time, so that several of them cannot take down the whole
//! pool.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::Leader;
use super::candidate::Candidate;
use super::obstacle::Obstacles;
use super::overdue::MAX_WAIT_MS;
use super::plan::MAX_STARTS;
use super::ready::Group;
use crate::change::Start;
use crate::job::Task;
use crate::suspicion::Suspicion;

/// Suspects may use one of this many workers of a pool at a time, and at least one.
const WORKERS_PER_SUSPECT: usize = 3;

/// A suspect of a single loss waits this long for a worker of its own before it may share one with
/// other suspects, in milliseconds.
const SOLO_WAIT_MS: Span = 1_000;

/// A suspect of several losses is likely the cause and keeps waiting for a worker of its own. After
/// this time, in milliseconds, suspects of a single loss and gangs may start next to any work.
/// Users tolerate three seconds in which no task of a job runs.
const MAX_SOLO_WAIT_MS: Span = 2_500;

/// A suspect waits this long for a worker without expected interference, in milliseconds. This is a
/// second less than for other work, because the suspect then also waits until the worker has no
/// recent starts.
const INTERFERENCE_WAIT_MS: Span = MAX_WAIT_MS - 1_000;

/// Maximum number of suspects that start together on a worker. If the worker is lost, each of them
/// starts alone the next time.
const MAX_COLOCATED: usize = 4;

/// A worker is the last choice for a suspect if another worker of its agent crashed within this
/// time, in milliseconds, since it may crash for a reason of its own.
const RECENT_CRASH_MS: Span = 10_000;

/// A suspect that waits for placement.
#[derive(Clone, Copy)]
pub(super) struct Suspect<'a> {
    now: Millis,
    group: &'a Group<'a>,
    task: TaskName,
    suspicion: &'a Suspicion,
    /// How long its job has been waiting, in milliseconds.
    waited_ms: Span,
}

impl Leader {
    /// Returns the task of a group as a suspect; `None` if it is not one.
    pub(super) fn suspect<'a>(
        &self,
        now: Millis,
        group: &'a Group<'a>,
        index: usize,
    ) -> Option<Suspect<'a>> {
        let suspicion = group.tasks()[index].suspicion.as_deref()?;
        let waited_ms = self.waits.get(&group.id).map_or(0, |wait| now.since(wait.since));
        let task = group.task(index);
        let suspect = Suspect { now, group, task, suspicion, waited_ms };
        Some(suspect).filter(|_| suspicion.suspect)
    }

    /// Starts the suspects whose turn has come, as far as there are workers to isolate them on.
    pub(super) fn place_suspects(
        &self,
        now: Millis,
        ready: &[Group<'_>],
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) {
        let waiting =
            |group: &&Group<'_>| !group.step.gang && group.tasks().iter().any(is_waiting_suspect);
        let mut groups: Vec<&Group<'_>> = ready.iter().filter(waiting).collect();
        if groups.is_empty() {
            return;
        }
        // The most likely culprits go first, as they are given up soon; then those that have waited
        // longest. By urgency, a job whose suspects are lost repeatedly would go first every time.
        let waited =
            |group: &Group<'_>| self.waits.get(&group.id).map(|wait| now.since(wait.since));
        groups.sort_by_key(|group| Reverse((most_suspicious(group), waited(group))));
        let mut slots = open_slots(candidates);
        for group in groups {
            for (index, task) in
                group.tasks().iter().enumerate().filter(|(_, task)| is_waiting_suspect(task))
            {
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
                if suspect.is_some_and(|suspect| suspect.suspicion.is_repeat_suspect()) {
                    // No other suspect may join the likely cause of several losses.
                    candidates[found].suspects = MAX_COLOCATED;
                }
                let run = RunName { task: name, number: task.run + 1 };
                starts.push(candidates[found].start(run));
            }
        }
    }

    /// Returns the worker for a suspect: one on which other suspects of its job start now, else a
    /// worker of its own if the limit for suspects allows one more. If none is without recent
    /// starts yet, one is held until it is. A suspect that has waited long enough joins suspects of
    /// other jobs.
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

    /// Returns whether a task must be isolated at its start. A suspect of a single loss is most
    /// likely innocent, and there are many of them when many workers are lost, so after a long wait
    /// it starts with other work. So do gangs, which rarely find enough workers without recent
    /// starts at the same time. A task that had just begun at several losses waits, whatever is
    /// known of their causes: it is given up for failed starts alone, so these must not all be
    /// starts next to the same culprit.
    pub(super) fn needs_isolation(&self, now: Millis, group: &Group<'_>, index: usize) -> bool {
        let Some(suspect) = self.suspect(now, group, index) else { return false };
        let may_share = group.step.gang || !suspect.suspicion.is_repeat_suspect();
        !may_share || suspect.waited_ms < MAX_SOLO_WAIT_MS
    }

    /// Returns the index of a worker on which a suspect would run only with tasks that have run
    /// well for a while.
    pub(super) fn isolated_worker(
        &self,
        suspect: Suspect<'_>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        self.best_worker(suspect, candidates, |candidate| candidate.isolates(suspect.group.id))
    }

    /// Returns the index of a worker on which a suspect that has waited long enough starts together
    /// with others.
    fn shared_worker(&self, suspect: Suspect<'_>, candidates: &[Candidate]) -> Option<usize> {
        if suspect.suspicion.is_repeat_suspect() || suspect.waited_ms < SOLO_WAIT_MS {
            return None;
        }
        let joins = |candidate: &Candidate| {
            (1..MAX_COLOCATED).contains(&candidate.suspects) && candidate.planned
        };
        self.best_worker(suspect, candidates, joins)
    }

    /// Returns the index of the best allowed candidate for a suspect. It prefers workers of agents
    /// on which the task was not lost, without a recent crash, and with few runs at risk.
    fn best_worker(
        &self,
        suspect: Suspect<'_>,
        candidates: &[Candidate],
        allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let Suspect { now, group, task, suspicion, waited_ms } = suspect;
        let impact = self.interference.impact(group.image);
        // Estimates of interference do not delay a suspect for long.
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

    /// Returns the obstacles for a suspect of the group that the plan has not started; `None` if
    /// there is no such suspect.
    pub(super) fn suspect_obstacles(
        &self,
        now: Millis,
        group: &Group<'_>,
        candidates: &[Candidate],
        starts: &[Start],
    ) -> Option<Obstacles> {
        let placed = |task: TaskName| starts.iter().any(|start| start.run.task == task);
        let tasks = group.tasks().iter().enumerate();
        let names =
            tasks.filter(|(_, task)| is_waiting_suspect(task)).map(|(index, _)| group.task(index));
        let name = names.into_iter().find(|name| !placed(*name))?;
        Some(self.obstacles(now, group, name, candidates, true))
    }
}

/// Returns for how many losses the most suspicious waiting task of a group was a likely cause.
fn most_suspicious(group: &Group<'_>) -> u32 {
    let suspicions = group.tasks().iter().filter(|task| is_waiting_suspect(task));
    let likely = suspicions.filter_map(|task| Some(task.suspicion.as_ref()?.likely));
    likely.max().unwrap_or(0)
}

/// Returns whether a task is a suspect that needs a worker.
fn is_waiting_suspect(task: &Task) -> bool {
    task.is_pending() && task.is_suspect()
}

/// Returns how many more workers of each pool may be given to suspects.
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
