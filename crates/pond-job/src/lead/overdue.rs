//! Work that nothing but a belief keeps waiting is tried after a while, one task of a job at a time.
//!
//! What is learned of harm, of health and of what serving tasks use may be wrong, and loads change.
//! What is not placed shows nothing, so such a belief is never put to the test by itself. Without a
//! bound a job whose image is taken to disturb everywhere would wait for ever with most of the room
//! free.
//!
//! Trials go to the job that has stood still for longest. In the order of urgency a begun job would come
//! first again after each of its tasks, and one at the end of that order would stand still meanwhile. A job
//! that has had a trial does not wait for its patience again: its next one would start only after two seconds
//! in which nothing of it runs.
//!
//! Tasks that last have the short patience however full the pool is, and are tried beside suspects where nothing else has room:
//! in a pool that serves the few workers with room are those on which suspects begin, one after the other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::candidate::{Candidate, Undo};
use super::obstacle::{Obstacle, Obstacles};
use super::plan::MAX_STARTS;
use super::ready::Ready;
use super::wait::Wait;
use super::{Decision, Leader, Output};
use crate::change::Start;
use crate::job::Task;
use crate::state::State;

/// Room is plenty while more than this share of it is free, in percent: platforms count it as plenty
/// from a half on, and what is free wavers by some percent.
const AMPLE_FREE_PERCENT: u64 = 40;

/// Tasks on a worker that are being tried at most, while jobs can wait for their turn: more of them
/// would tell nothing new.
const MAX_FORCED: usize = 2;

/// A job waits this long for a belief before its first trial while room is plenty, in milliseconds: below
/// the three seconds that platforms bear, by the wait for a place and a commit. After a trial the next
/// one comes as soon as there is a place.
pub(super) const MAX_WAIT_MS: Span = 2_000;

/// A job whose trial is due waits this long for a place among those that are tried, in milliseconds: with
/// more jobs than places the wait would have no bound. Together with the patience half a second less
/// than platforms bear, for a commit, an order and a start.
const MAX_TURN_WAIT_MS: Span = 500;

/// A job waits this long while room is scarce, in milliseconds: then waiting is the rule and a trial
/// takes from others. Jobs take turns; with more of them than places each waits in proportion. Of one
/// that stands still for as long, also tasks that failed before are tried on workers that rest, where no
/// sound one can take them: twice the longest rest, as a failure costs one of the attempts.
const MAX_WAIT_SCARCE_MS: Span = 20_000;

/// Why a worker is not taken for sound.
pub(super) const UNHEALTHY: [Obstacle; 2] = [Obstacle::Backoff, Obstacle::Probing];

/// What a trial may ask of the workers.
#[derive(Clone, Copy)]
struct Tolerance {
    /// Tried tasks on a worker at most.
    max_forced: usize,
    /// Room that is kept for others is taken.
    uses_reserved: bool,
    /// Attempts are not spared.
    spends_attempts: bool,
}

/// A trial that is due.
#[derive(Clone, Copy)]
struct Due {
    /// How long nothing has run of what should, in milliseconds.
    starved_ms: Span,
    tolerance: Tolerance,
}

impl Due {
    /// The trial of a group that waits; none while something of its job runs, or before the patience is
    /// over. Of what lasts, each task that finds no place stands still, whatever else runs.
    fn of(now: Millis, group: &Ready<'_>, wait: Wait, ample: bool) -> Option<Due> {
        let long_running = group.step.lasting;
        let waited_ms = now.since(wait.since);
        // Users allow what lasts the same time however full the pool is.
        let short = ample || long_running;
        let max_wait_ms = if short { MAX_WAIT_MS } else { MAX_WAIT_SCARCE_MS };
        if waited_ms < max_wait_ms || (wait.starved_since.is_none() && !long_running) {
            return None;
        }
        let starved_ms = if long_running { waited_ms } else { wait.starved_ms(now) };
        let due_ms = starved_ms.min(waited_ms - max_wait_ms);
        let spends_attempts = starved_ms >= MAX_WAIT_SCARCE_MS;
        let tolerance = Tolerance {
            max_forced: if short && due_ms >= MAX_TURN_WAIT_MS { usize::MAX } else { MAX_FORCED },
            uses_reserved: short || spends_attempts,
            spends_attempts,
        };
        Some(Due { starved_ms, tolerance })
    }
}

impl Leader {
    /// Starts one task of each job that has stood still for too long, where it is expected to disturb
    /// least. The agent there slows it down if it does harm after all.
    pub(super) fn force_overdue(
        &mut self,
        state: &State,
        now: Millis,
        blocked: &[(&Ready<'_>, Obstacles)],
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) {
        self.forced.retain(|run| is_placed(state, *run));
        let ample = ample_pools(candidates);
        for (group, wait) in self.by_starvation(now, blocked) {
            if starts.len() >= MAX_STARTS {
                break;
            }
            let started = starts.iter().any(|start| start.run.task.job == group.id);
            let ample = ample.contains(&group.job.pool);
            let Some(due) = Due::of(now, group, wait, ample).filter(|_| !started) else { continue };
            for start in self.force(now, group, due.tolerance, candidates) {
                let (run, worker, starved_ms) = (start.run, start.worker.clone(), due.starved_ms);
                self.forced.insert(run);
                self.outputs.push(Output::Decided(Decision::Forced { run, worker, starved_ms }));
                starts.push(start);
            }
        }
    }

    /// The groups that wait, those whose jobs have stood still for longest first, then in the order of
    /// the plan.
    fn by_starvation<'a>(
        &self,
        now: Millis,
        blocked: &[(&'a Ready<'a>, Obstacles)],
    ) -> Vec<(&'a Ready<'a>, Wait)> {
        let wait =
            |(group, _): &(&'a Ready<'a>, Obstacles)| Some((*group, *self.waits.get(&group.id)?));
        let mut groups: Vec<_> = blocked.iter().filter_map(wait).collect();
        groups.sort_by_key(|(_, wait)| Reverse(wait.starved_ms(now)));
        groups
    }

    /// Starts for the tasks of a group that are tried; a gang is tried whole or not at all, as its tasks
    /// have to start together.
    fn force(
        &self,
        now: Millis,
        group: &Ready<'_>,
        tolerance: Tolerance,
        candidates: &mut [Candidate],
    ) -> Vec<Start> {
        let tasks = forced_tasks(group);
        let mut undo = Undo::default();
        let starts = self.force_each(now, group, tolerance, &tasks, candidates, &mut undo);
        if group.step.gang && starts.len() < tasks.len() {
            undo.restore(candidates);
            return Vec::new();
        }
        starts
    }

    /// Starts for tasks of a group with the numbers of their runs, until one finds no place.
    fn force_each(
        &self,
        now: Millis,
        group: &Ready<'_>,
        tolerance: Tolerance,
        tasks: &[(usize, u32)],
        candidates: &mut [Candidate],
        undo: &mut Undo,
    ) -> Vec<Start> {
        let mut starts = Vec::new();
        for (index, number) in tasks {
            let task = group.task(*index);
            let found = self.least_interference(now, group, task, tolerance, candidates);
            let Some(found) = found else { break };
            undo.record(found, candidates);
            candidates[found].assign(
                task,
                group.step,
                group.image,
                group.serving,
                &self.interference,
            );
            if self.needs_isolation(now, group, *index) {
                candidates[found].assign_suspect(group.id);
            }
            candidates[found].forced += 1;
            starts.push(candidates[found].start(RunName { task, number: *number }));
        }
        starts
    }

    /// The beliefs that a trial does not heed, besides harm and what serving tasks use. That a worker is
    /// sick is a comparison with others: where no sound one can take the task, jobs that can never be done
    /// are as likely, and a worker that is probed with a long run may be well for as long as that takes. Only
    /// a task that has never failed is tried there, which costs it one attempt at most.
    fn ignored_obstacles(
        &self,
        now: Millis,
        group: &Ready<'_>,
        task: TaskName,
        tolerance: Tolerance,
        candidates: &[Candidate],
    ) -> Vec<Obstacle> {
        let mut ignored_obstacles: Vec<Obstacle> =
            tolerance.uses_reserved.then_some(Obstacle::Reserved).into_iter().collect();
        let failed = group.tasks().get(task.index as usize).is_some_and(|task| task.failed > 0);
        let keeps_attempts = (failed || group.job.attempts < 2) && !tolerance.spends_attempts;
        let healthy = |candidate: &Candidate| {
            candidate.admits(&group.job.pool, task, group.step, &[Obstacle::Reserved])
                && !self.lacks_ticket(now, group, task, &candidate.incarnation)
        };
        if candidates.iter().any(healthy) {
            return ignored_obstacles;
        }
        if !keeps_attempts {
            ignored_obstacles.extend(UNHEALTHY);
        }
        if group.step.lasting {
            // The next suspect may come as soon as one is cleared, so to wait for a worker without any has no bound.
            ignored_obstacles.push(Obstacle::Suspect);
        }
        ignored_obstacles
    }

    /// The place of the candidate on which a task is expected to disturb least, whatever that is; one on
    /// which it did not fail before, if there is any.
    fn least_interference(
        &self,
        now: Millis,
        group: &Ready<'_>,
        task: TaskName,
        tolerance: Tolerance,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let ignored_obstacles = self.ignored_obstacles(now, group, task, tolerance, candidates);
        let suspect = group.tasks().get(task.index as usize).is_some_and(Task::suspect);
        let suitable = |candidate: &Candidate| {
            let lacking = self.lacks_ticket(now, group, task, &candidate.incarnation);
            let admitted = candidate.admits(&group.job.pool, task, group.step, &ignored_obstacles);
            admitted && candidate.forced < tolerance.max_forced && !lacking
        };
        let avoided = self.avoided.get(&task);
        // A suspect begins in company only if it has to: the company would share the blame.
        let unsuited = |candidate: &Candidate| {
            let failed = avoided.is_some_and(|avoided| avoided.contains(&candidate.incarnation));
            (candidate.closed() || (suspect && !candidate.isolates(group.id)), failed)
        };
        let found = candidates.iter().enumerate().filter(|(_, candidate)| suitable(candidate));
        let impact = self.interference.impact(group.image);
        let keyed = found.map(|(i, candidate)| {
            (i, unsuited(candidate), candidate.excess_with(group.step, &impact))
        });
        type Keyed = (usize, (bool, bool), f64);
        let least = |(_, a_unsuited, a_excess): &Keyed, (_, b_unsuited, b_excess): &Keyed| {
            a_unsuited.cmp(b_unsuited).then(a_excess.total_cmp(b_excess))
        };
        keyed.min_by(least).map(|(i, _, _)| i)
    }
}

/// The tasks of a group that are tried together, with the numbers of their runs: all of a gang once none
/// has a place, each that lasts, as each has a duty of its own; else one shows what the others do, and
/// one that has not failed before, as a failure would say little of it.
fn forced_tasks(group: &Ready<'_>) -> Vec<(usize, u32)> {
    let tasks = group.tasks();
    let waiting = || tasks.iter().enumerate().filter(|(_, task)| task.waits());
    let next = |(index, task): (usize, &Task)| (index, task.run + 1);
    if group.step.gang {
        let all_waiting = tasks.iter().all(Task::waits);
        let number = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        return (0..tasks.len()).filter(|_| all_waiting).map(|index| (index, number)).collect();
    }
    if group.step.lasting {
        return waiting().map(next).collect();
    }
    waiting().min_by_key(|(_, task)| task.failed).map(next).into_iter().collect()
}

/// Whether a run is the newest of its task and has a worker.
fn is_placed(state: &State, run: RunName) -> bool {
    let task = state.job(run.task.job).and_then(|job| job.task(run.task));
    task.is_some_and(|task| task.run == run.number && task.worker.is_some())
}

/// The pools in which room is plenty, in processors that tasks ask for, of the workers that can be given
/// something. Those that are silent are left out: what they have free is of no use.
fn ample_pools(candidates: &[Candidate]) -> BTreeSet<String> {
    let mut pools: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for candidate in candidates {
        let (free, all) = pools.entry(&candidate.pool).or_default();
        *free += u64::from(candidate.free.milli_cpu);
        *all += u64::from(candidate.total_milli_cpu);
    }
    let ample = |(_, (free, all)): &(&str, (u64, u64))| free * 100 > all * AMPLE_FREE_PERCENT;
    pools.into_iter().filter(ample).map(|(pool, _)| pool.to_owned()).collect()
}
