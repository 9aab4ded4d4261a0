//! Forced placement of work that only an estimate keeps waiting, after a maximum wait and one task
//! of a job at a time.
//!
//! The estimates of interference, of health and of the use of serving tasks may be wrong, and loads
//! change. A task that is not placed yields no measurements, so a wrong estimate would never be
//! corrected. Without a bound, a job whose image is expected to interfere everywhere would wait
//! forever although most of the capacity is free.
//!
//! The job that has been starved longest is forced first. By urgency, a job that has started would
//! go first again after each of its tasks, and a job at the end of that order would stay starved. A
//! job does not wait again after its first forced placement: otherwise its next one would start
//! only after two seconds in which nothing of it runs.
//!
//! Long-running tasks always have the short maximum wait, however full the pool is. If nothing else
//! has capacity, they are placed next to suspects: in a pool that serves, the few workers with
//! capacity are those on which one suspect after the other starts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::candidate::{Candidate, Undo};
use super::obstacle::{Obstacle, Obstacles};
use super::plan::MAX_STARTS;
use super::ready::Group;
use super::share::{Shares, is_vacant};
use super::wait::Wait;
use super::{Decision, Leader, Output};
use crate::change::Start;
use crate::job::Task;
use crate::state::State;

/// Capacity is ample while more than this share of it is free, in percent. Platforms consider it
/// ample if at least half is free, and the free share varies by a few percent.
const AMPLE_FREE_PERCENT: u64 = 40;

/// Maximum number of forced tasks on a worker while jobs can wait for their turn. More of them
/// would yield no new information.
const MAX_FORCED: usize = 2;

/// Maximum time that an estimate delays the first task of a job while capacity is ample, in
/// milliseconds. It is below the three seconds that platforms tolerate, to leave time for finding a
/// place and for a commit. After a forced placement the next one follows as soon as there is a
/// place.
pub(super) const MAX_WAIT_MS: Span = 2_000;

/// Maximum time that a due job waits for a worker with fewer than [`MAX_FORCED`] forced tasks, in
/// milliseconds: with more jobs than places the wait would be unbounded. Together with the maximum
/// wait it is half a second less than platforms tolerate, to leave time for a commit, an order and
/// a start.
const MAX_TURN_WAIT_MS: Span = 500;

/// Maximum wait while capacity is scarce, in milliseconds. Waiting is normal then, and a forced
/// placement takes capacity from others. Jobs take turns; with more jobs than places, each waits
/// proportionally. If a job has been starved for this long and no healthy worker can take its
/// tasks, even tasks that failed before are placed on workers in backoff. The time is over twice
/// the longest backoff, because a failure costs an attempt.
const MAX_WAIT_SCARCE_MS: Span = 20_000;

/// Obstacles due to an unhealthy worker.
const UNHEALTHY: [Obstacle; 2] = [Obstacle::Backoff, Obstacle::Probing];

/// Obstacles that a forced placement may ignore.
pub(super) const IGNORABLE: [Obstacle; 4] =
    [Obstacle::Backoff, Obstacle::Probing, Obstacle::Suspect, Obstacle::Reserved];

/// What a forced placement may ignore.
#[derive(Clone, Copy)]
struct Tolerance {
    /// Maximum number of forced tasks on a worker.
    max_forced: usize,
    /// Whether capacity that is reserved for others may be used.
    uses_reserved: bool,
    /// Whether a task may be placed on an unhealthy worker even if a failure there costs one of its
    /// last attempts.
    spends_attempts: bool,
    /// Whether a task may be placed next to a suspect.
    joins_suspects: bool,
}

/// A forced placement that is due.
#[derive(Clone, Copy)]
struct Placement {
    /// How long nothing that should run has run, in milliseconds.
    starved_ms: Span,
    tolerance: Tolerance,
}

impl Placement {
    /// Returns the forced placement of a waiting group; `None` while a task of its job is running,
    /// or before the maximum wait is over. Each unplaced long-running task counts as starved,
    /// whatever else is running.
    fn of(now: Millis, group: &Group<'_>, wait: Wait, ample: bool) -> Option<Placement> {
        let long_running = group.step.long_running;
        let waited_ms = now.since(wait.since);
        // Users tolerate the same wait of long-running tasks however full the pool is.
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
            joins_suspects: ample && due_ms >= MAX_TURN_WAIT_MS,
        };
        Some(Placement { starved_ms, tolerance })
    }
}

impl Leader {
    /// Starts one task of each job that has been starved for too long, where the least interference
    /// is expected. If it does interfere, the agent slows it down.
    pub(super) fn force_overdue(
        &mut self,
        state: &State,
        now: Millis,
        blocked: &[(&Group<'_>, Obstacles)],
        shares: &mut Shares,
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
            if started {
                continue;
            }
            let ample = ample.contains(&group.job.pool);
            let Some(placement) = Placement::of(now, group, wait, ample) else { continue };
            for start in self.force(now, group, placement.tolerance, shares, candidates) {
                shares.take(group);
                let (run, worker, starved_ms) =
                    (start.run, start.worker.clone(), placement.starved_ms);
                self.forced.insert(run);
                self.outputs.push(Output::Decided(Decision::Forced { run, worker, starved_ms }));
                starts.push(start);
            }
        }
    }

    /// Returns the waiting groups, those with the longest starved jobs first and otherwise in the
    /// order of the plan.
    fn by_starvation<'a>(
        &self,
        now: Millis,
        blocked: &[(&'a Group<'a>, Obstacles)],
    ) -> Vec<(&'a Group<'a>, Wait)> {
        let wait =
            |(group, _): &(&'a Group<'a>, Obstacles)| Some((*group, *self.waits.get(&group.id)?));
        let mut groups: Vec<_> = blocked.iter().filter_map(wait).collect();
        groups.sort_by_key(|(_, wait)| Reverse(wait.starved_ms(now)));
        groups
    }

    /// Returns starts for the forced tasks of a group. A gang is forced completely or not at all,
    /// as its tasks must start together.
    fn force(
        &self,
        now: Millis,
        group: &Group<'_>,
        tolerance: Tolerance,
        shares: &Shares,
        candidates: &mut [Candidate],
    ) -> Vec<Start> {
        let tasks = forced_tasks(group);
        let mut undo = Undo::default();
        let starts = self.force_each(now, group, tolerance, shares, candidates, &mut undo);
        if group.step.gang && starts.len() < tasks.len() {
            undo.restore(candidates);
            return Vec::new();
        }
        starts
    }

    /// Returns starts for the forced tasks of a group, up to the first that cannot be placed.
    fn force_each(
        &self,
        now: Millis,
        group: &Group<'_>,
        tolerance: Tolerance,
        shares: &Shares,
        candidates: &mut [Candidate],
        undo: &mut Undo,
    ) -> Vec<Start> {
        let mut starts = Vec::new();
        for (index, number) in forced_tasks(group) {
            let vacant = || self.vacancies.opens(now, group) && is_vacant(group, candidates);
            if !shares.admits_over_reservations(group, starts.len() + 1) && !vacant() {
                break;
            }
            let task = group.task(index);
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
            if self.needs_isolation(now, group, index) {
                candidates[found].assign_suspect(group.id);
            }
            candidates[found].forced += 1;
            starts.push(candidates[found].start(RunName { task, number }));
        }
        starts
    }

    /// Returns the obstacles that a forced placement ignores in addition to interference and the
    /// expected use of serving tasks. Whether a worker is unhealthy is judged by comparison: where
    /// no healthy worker can take the task, jobs that can never be done are as likely a cause, and
    /// a worker that is probed with a long run may be healthy during all of it. Only a task that
    /// has never failed is placed there, which costs it one attempt at most, unless jobs that fail
    /// wherever they run explain why the worker appears unhealthy.
    fn ignored_obstacles(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        tolerance: Tolerance,
        candidates: &[Candidate],
    ) -> Vec<Obstacle> {
        let mut ignored_obstacles: Vec<Obstacle> =
            tolerance.uses_reserved.then_some(Obstacle::Reserved).into_iter().collect();
        if self.admitted_by_healthy(now, group, task, candidates) {
            return ignored_obstacles;
        }
        let failed = group.tasks().get(task.index as usize).is_some_and(|task| task.failures > 0);
        let keeps_attempts = (failed || group.job.max_attempts < 2) && !tolerance.spends_attempts;
        if !keeps_attempts {
            ignored_obstacles.extend(UNHEALTHY);
        }
        let suspect = group.tasks().get(task.index as usize).is_some_and(Task::is_suspect);
        if group.step.long_running || (tolerance.joins_suspects && !suspect) {
            // The next suspect may arrive as soon as one is cleared, so waiting for a worker
            // without suspects has no bound.
            ignored_obstacles.push(Obstacle::Suspect);
        }
        ignored_obstacles
    }

    /// Returns whether a healthy worker can take the task.
    fn admitted_by_healthy(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        candidates: &[Candidate],
    ) -> bool {
        self.healthy_worker(now, group, task, candidates).is_some()
    }

    /// Returns the index of a healthy worker that can take the task.
    fn healthy_worker(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        candidates: &[Candidate],
    ) -> Option<usize> {
        candidates.iter().position(|candidate| {
            candidate.admits(&group.job.pool, task, group.step, &[Obstacle::Reserved])
                && !self.lacks_ticket(now, group, task, &candidate.incarnation)
        })
    }

    /// Returns whether healthy workers can take all tasks of a group that are forced together. The
    /// candidates are left as they are.
    pub(super) fn forced_by_healthy(
        &self,
        now: Millis,
        group: &Group<'_>,
        candidates: &mut [Candidate],
    ) -> bool {
        let mut undo = Undo::default();
        let all_taken = forced_tasks(group).into_iter().all(|(index, _)| {
            let task = group.task(index);
            let found = self.healthy_worker(now, group, task, candidates);
            found.is_some_and(|found| {
                undo.record(found, candidates);
                candidates[found].assign(
                    task,
                    group.step,
                    group.image,
                    group.serving,
                    &self.interference,
                );
                true
            })
        });
        undo.restore(candidates);
        all_taken
    }

    /// Returns whether a worker appears unhealthy only because of jobs that fail wherever they run,
    /// or of this one, so that a task that has failed before is not at risk there.
    fn is_health_explained(&self, group: &Group<'_>, candidate: &Candidate) -> bool {
        let health = self.health.get(&candidate.agent);
        health
            .is_some_and(|health| health.is_explained(group.id, |job| self.failures.is_faulty(job)))
    }

    /// Returns the index of the candidate with the least expected interference, however high it is.
    /// Candidates on which the task has not failed are preferred.
    fn least_interference(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        tolerance: Tolerance,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let ignored_obstacles = self.ignored_obstacles(now, group, task, tolerance, candidates);
        let despite_health: Vec<Obstacle> =
            ignored_obstacles.iter().copied().chain(UNHEALTHY).collect();
        let healthy = self.admitted_by_healthy(now, group, task, candidates);
        let suspect = group.tasks().get(task.index as usize).is_some_and(Task::is_suspect);
        let suitable = |candidate: &Candidate| {
            let lacking = self.lacks_ticket(now, group, task, &candidate.incarnation);
            let ignored = match !healthy && self.is_health_explained(group, candidate) {
                true => &despite_health,
                false => &ignored_obstacles,
            };
            let admitted = candidate.admits(&group.job.pool, task, group.step, ignored);
            admitted && candidate.forced < tolerance.max_forced && !lacking
        };
        let avoided = self.avoided.get(&task);
        // A suspect starts next to other recent starts only if there is no other way, since all of
        // them would share the blame for a loss.
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

/// Returns the tasks of a group that are forced together, with their run numbers: a whole gang once
/// none of its tasks is placed, and all long-running tasks, as each has its own purpose. Of other
/// steps it is a single task, which shows what the others would do, and preferably one that has not
/// failed, as a failure would reveal little.
fn forced_tasks(group: &Group<'_>) -> Vec<(usize, u32)> {
    let tasks = group.tasks();
    let waiting = || tasks.iter().enumerate().filter(|(_, task)| task.is_pending());
    let next = |(index, task): (usize, &Task)| (index, task.run + 1);
    if group.step.gang {
        let all_waiting = tasks.iter().all(Task::is_pending);
        let number = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        return (0..tasks.len()).filter(|_| all_waiting).map(|index| (index, number)).collect();
    }
    if group.step.long_running {
        return waiting().map(next).collect();
    }
    waiting()
        .min_by_key(|(_, task)| (task.is_suspect(), task.failures))
        .map(next)
        .into_iter()
        .collect()
}

/// Returns whether a run is the newest of its task and is placed on a worker.
fn is_placed(state: &State, run: RunName) -> bool {
    let task = state.job(run.task.job).and_then(|job| job.task(run.task));
    task.is_some_and(|task| task.run == run.number && task.worker.is_some())
}

/// Returns the pools with ample capacity, measured in requested processors of workers that can be
/// given work. Silent workers do not count, as their free capacity cannot be used.
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
