//! Placement of tasks whose turn has come.

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::advice::StepName;
use super::candidate::{Candidate, Undo};
use super::obstacle::{Obstacle, Obstacles};
use super::rank::{Ranking, Rejections};
use super::ready::{Group, ready};
use super::share::Shares;
use super::{Leader, Output, PROPOSAL_RETRY_MS};
use crate::change::{Change, Start};
use crate::job::Task;
use crate::state::State;

/// Maximum number of starts in one proposal, to keep log entries small.
pub(super) const MAX_STARTS: usize = 256;

/// Serving tasks wait this long for others, in milliseconds, so that they can be packed by image.
/// Callers submit related jobs within about 50 ms.
const BATCH_WINDOW_MS: Span = 150;

/// A new leader makes no plan for this long, in milliseconds. By then most agents have connected,
/// so the first workers to report do not receive all the work.
const FIRST_PLAN_DELAY_MS: Span = 200;

/// Before it places serving tasks, a new leader waits this long for workers that had runs, in
/// milliseconds.
pub(super) const DISCOVERY_MS: Span = 1_000;

/// A worker that has not reported for this long gets no work, in milliseconds. Reports arrive every
/// second.
pub(super) const REPORT_VALID_MS: Span = 2_500;

impl Leader {
    /// Proposes starts for tasks whose turn has come, most urgent first.
    pub(super) fn plan(&mut self, state: &State, now: Millis, wall: Millis) {
        if self.start_proposed_at.is_some_and(|at| now.since(at) < PROPOSAL_RETRY_MS) {
            return;
        }
        if now.since(self.leading_since) < FIRST_PLAN_DELAY_MS {
            return;
        }
        let overloaded = self.overloaded_pools(state, now);
        let mut ready = ready(
            state,
            now,
            wall,
            &mut self.interference,
            &self.durations,
            &self.demand,
            &overloaded,
        );
        let mut deferred = Vec::new();
        if self.batches_serving(state, now, &ready) {
            let proceeds = |group: &Group<'_>| group.serving.is_none() && !group.step.best_effort;
            (ready, deferred) = ready.into_iter().partition(proceeds);
        }
        if ready.is_empty() {
            self.admissions.record_idle_plan(state);
            if deferred.is_empty() {
                self.waits.clear();
                self.vacancies.clear();
            }
            return;
        }
        let mut candidates = self.candidates(state, now);
        let mut shares = self.shares(state, now, &ready, &candidates);
        let mut starts = Vec::new();
        let mut blocked = Vec::new();
        self.place_suspects(now, &ready, &mut candidates, &mut starts);
        for start in &starts {
            let step = StepName::from(start.run.task);
            let group = ready.iter().find(|group| StepName::from(group.task(0)) == step);
            group.into_iter().for_each(|group| shares.take(group));
        }
        let mut visited = 0;
        let mut rejections = Rejections::default();
        for group in &ready {
            if starts.len() >= MAX_STARTS {
                break;
            }
            visited += 1;
            let obstacles = match rejections.obstacles(group) {
                Some(obstacles) => {
                    reserve_capacity(group, 0, &mut shares, &mut candidates);
                    Some(obstacles)
                }
                None => self.place(now, group, &mut shares, &mut candidates, &mut starts),
            };
            if let Some(obstacles) = obstacles {
                rejections.record(group, &obstacles);
                blocked.push((group, obstacles));
            } else if let Some(obstacles) = self.suspect_obstacles(now, group, &candidates, &starts)
            {
                blocked.push((group, obstacles));
            }
        }
        let unvisited = ready[visited..].iter().chain(&deferred);
        self.update_waits(state, now, wall, &blocked, unvisited);
        let kept_waiting = ready
            .iter()
            .filter(|group| !shares.admits_over_reservations(group, group.tasks().len()));
        self.vacancies.update(now, kept_waiting, &candidates);
        self.force_overdue(state, now, &blocked, &mut shares, &mut candidates, &mut starts);
        self.ask_about_ready(now, &ready, &mut candidates);
        if visited == ready.len() {
            self.admissions.record_plan(state, now, &candidates);
        }
        self.cache.keep(candidates);
        if !starts.is_empty() {
            self.start_proposed_at = Some(now);
            self.outputs.push(Output::Propose(Change::Start(starts)));
        }
    }

    /// Returns whether serving tasks have to wait, either for further ones so that they are packed
    /// together, or for workers that have not reported to this leader yet. Best-effort tasks wait
    /// with them: if they took the workers in the meantime, they would have to move again within a
    /// second.
    fn batches_serving(&mut self, state: &State, now: Millis, ready: &[Group<'_>]) -> bool {
        if ready.iter().all(|group| group.serving.is_none()) {
            self.batching_since = None;
            return false;
        }
        let since = *self.batching_since.get_or_insert(now);
        now.since(since) < BATCH_WINDOW_MS || !self.knows_workers(state, now)
    }

    /// Returns whether all workers with runs have reported to this leader, or have had enough time
    /// to do so.
    pub(super) fn knows_workers(&self, state: &State, now: Millis) -> bool {
        now.since(self.leading_since) >= DISCOVERY_MS
            || state.workers().all(|incarnation| self.workers.contains_key(incarnation))
    }

    /// Places the waiting tasks of a group as far as there is capacity. Returns the obstacles for
    /// the first task that could not be placed.
    fn place(
        &self,
        now: Millis,
        group: &Group<'_>,
        shares: &mut Shares,
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) -> Option<Obstacles> {
        if group.step.gang {
            return self.place_gang(now, group, shares, candidates, starts);
        }
        let mut ranking = Ranking::new(self, now, group, candidates);
        for (index, task) in group.tasks().iter().enumerate() {
            let isolated = self.needs_isolation(now, group, index);
            if !task.is_pending() || isolated || starts.len() >= MAX_STARTS {
                continue;
            }
            let name = group.task(index);
            let admitted = shares.admits(group, 1);
            let wanted = group.takes_wanted(candidates);
            let best = || ranking.best(self.avoided.get(&name), candidates);
            let Some(found) = (admitted && !wanted).then(best).flatten() else {
                // The tasks of a group are equal, so if one cannot be placed, neither can the
                // others.
                let obstacles = self.obstacles(now, group, name, candidates, admitted);
                reserve_capacity(group, index, shares, candidates);
                return Some(obstacles);
            };
            shares.take(group);
            candidates[found].assign(
                name,
                group.step,
                group.image,
                group.serving,
                &self.interference,
            );
            ranking.update(found, candidates);
            let run = RunName { task: name, number: task.run + 1 };
            starts.push(candidates[found].start(run));
        }
        None
    }

    /// Places a gang completely or not at all, and only after all tasks of its last run have ended.
    fn place_gang(
        &self,
        now: Millis,
        group: &Group<'_>,
        shares: &mut Shares,
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) -> Option<Obstacles> {
        let tasks = group.tasks();
        if !tasks.iter().all(Task::is_pending) {
            return None;
        }
        let admitted = shares.admits(group, tasks.len());
        if !admitted || group.takes_wanted(candidates) {
            return Some(self.obstacles(now, group, group.task(0), candidates, admitted));
        }
        let number = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let mut undo = Undo::default();
        let mut placed = Vec::new();
        let mut ranking = Ranking::new(self, now, group, candidates);
        for index in 0..tasks.len() {
            let name = group.task(index);
            let isolated = self.needs_isolation(now, group, index);
            let found = match isolated {
                true => self
                    .suspect(now, group, index)
                    .and_then(|suspect| self.isolated_worker(suspect, candidates)),
                false => ranking.best(self.avoided.get(&name), candidates),
            };
            let Some(found) = found else {
                let obstacles = self.obstacles(now, group, name, candidates, true);
                undo.restore(candidates);
                return Some(obstacles);
            };
            undo.record(found, candidates);
            candidates[found].assign(
                name,
                group.step,
                group.image,
                group.serving,
                &self.interference,
            );
            if isolated {
                candidates[found].assign_suspect(group.id);
            }
            ranking.update(found, candidates);
            let run = RunName { task: name, number };
            placed.push(candidates[found].start(run));
        }
        placed.iter().for_each(|_| shares.take(group));
        starts.extend(placed);
        None
    }

    /// Counts the obstacles that keep the workers from taking a task. `admitted` tells whether the
    /// shares of the pool admit the task.
    pub(super) fn obstacles(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        candidates: &[Candidate],
        admitted: bool,
    ) -> Obstacles {
        let wanted = group.takes_wanted(candidates);
        let obstacle = |candidate: &Candidate| {
            let blocking = match candidate.obstacle(&group.job.pool, task, group.step) {
                None | Some(Obstacle::Reserved) if !admitted => Some(Obstacle::Entitled),
                blocking => blocking,
            };
            blocking.unwrap_or_else(|| {
                let lacking = self.lacks_ticket(now, group, task, &candidate.incarnation);
                match (lacking, wanted) {
                    (true, _) => Obstacle::NoTicket,
                    (false, true) => Obstacle::Wanted,
                    (false, false) => Obstacle::Interference,
                }
            })
        };
        candidates.iter().map(obstacle).collect()
    }

    /// Returns whether the task needs a ticket of the adviser for that worker and has none.
    pub(super) fn lacks_ticket(
        &self,
        now: Millis,
        group: &Group<'_>,
        task: TaskName,
        incarnation: &str,
    ) -> bool {
        group.job.advice.is_some() && self.adviser.ticket(now, task.into(), incarnation).is_none()
    }
}

/// Reserves capacity for the tasks of a step from `first` on, as far as the shares of the pool admit
/// it. Only long-running tasks justify idle capacity: other tasks find a place sooner or later, and
/// reserved capacity goes unused.
fn reserve_capacity(
    group: &Group<'_>,
    first: usize,
    shares: &mut Shares,
    candidates: &mut [Candidate],
) {
    if !group.step.long_running {
        return;
    }
    let waiting = |(_, task): &(usize, &Task)| task.is_pending();
    for (index, _) in group.tasks().iter().enumerate().skip(first).filter(waiting) {
        if !shares.admits(group, 1) {
            return;
        }
        let name = group.task(index);
        let could =
            |candidate: &&mut Candidate| candidate.could_reserve(&group.job.pool, name, group.step);
        let unreserved = |candidate: &&mut Candidate| candidate.unreserved_milli_cpu();
        let Some(best) = candidates.iter_mut().filter(could).max_by_key(unreserved) else { return };
        best.reserve(name, group.step);
        shares.reserve(group);
    }
}
