//! What a leading replica decides about workers and runs.
//!
//! A run is ordered only after its start is in the log. An end is settled only after it is in the
//! log, and only then may the worker forget it. A run whose worker cannot be reached counts as
//! ended when its lease has surely run out: the lease is extended only in answer to a report, up to
//! a time counted from the worker's clock in that report.

mod absent;
mod advice;
mod ask;
mod blame;
mod cache;
mod candidate;
mod capacity;
mod cause;
mod colocation;
mod duration;
mod ends;
mod evacuation;
mod evict;
mod health;
mod image;
mod interference;
mod load;
mod obstacle;
mod order;
mod output;
mod overdue;
mod plan;
mod progress;
mod rank;
mod ready;
mod regression;
mod suspect;
mod utilization;
mod wait;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::{How, RunName, TaskName};
use pond_proto::{Millis, Span};

use crate::change::{Change, Reply};
use crate::lesson::Lesson;
use crate::state::State;

use absent::Absence;
use advice::Adviser;
use blame::Losses;
use cache::Cache;
use duration::Durations;
use ends::Loss;
use health::Health;
use interference::Interference;
use wait::Wait;
use worker::Worker;

pub use advice::{Permit, Question, StepName};
pub use obstacle::{Obstacle, Obstacles};
pub use output::{Decision, LossKind, Output, Timing};

/// Time after which an order that shows no effect is sent again, in milliseconds. A report comes
/// about every second and after each change.
const ORDER_RETRY_MS: Span = 1_000;

/// Time between looks at what is overdue, in milliseconds: about a tenth of the time between
/// reports, so that it adds little to any wait.
const CHECK_INTERVAL_MS: Span = 100;

/// Time after which a proposal that shows no effect is made again, in milliseconds: well beyond
/// a commit with a slow disk.
const PROPOSAL_RETRY_MS: Span = 3_000;

/// Time between entries of the log with what was learned, in milliseconds: a few kilobytes each, and
/// a new leader learns in about as long as that what is lost.
const ESTIMATES_INTERVAL_MS: Span = 2_000;

/// Decides for a replica while it leads.
#[derive(Debug)]
pub struct Leader {
    term: u64,
    /// When this replica began to lead.
    leading_since: Millis,
    timing: Timing,
    /// Workers that have reported, by life.
    workers: BTreeMap<String, Worker>,
    /// How sound workers are, by agent: it outlasts their lives.
    health: BTreeMap<String, Health>,
    /// Start proposals on their way, and when the last was made.
    start_proposed_at: Option<Millis>,
    /// Lives whose loss is proposed. They get no order until it is in the log: a run that starts or
    /// goes on there would run beside the one that replaces it.
    proposed_losses: BTreeMap<String, Loss>,
    /// What was told last of lives that are over, while a later one still has runs of theirs.
    last_reports: BTreeMap<String, Report>,
    /// When workers were lost, and what was cleared of it.
    losses: Losses,
    /// When a start was last applied for a life.
    last_starts: BTreeMap<String, Millis>,
    /// Runs that are stopped to run elsewhere.
    unwanted: BTreeSet<RunName>,
    /// Runs that were started although they were expected to disturb.
    forced: BTreeSet<RunName>,
    /// How often tasks were moved away from serving ones.
    moves: BTreeMap<TaskName, u32>,
    /// Workers on which a run of the task failed or stalled.
    avoided: BTreeMap<TaskName, BTreeSet<String>>,
    /// What filling tasks do to serving ones.
    interference: Interference,
    /// How long tasks take.
    durations: Durations,
    /// Which workers may run the steps of some queues.
    adviser: Adviser,
    /// Since when serving tasks wait to be placed.
    batching_since: Option<Millis>,
    /// Jobs of which tasks could not be placed in the last plan.
    waits: BTreeMap<u64, Wait>,
    /// Runs that are placed and that their workers have not listed.
    absent: BTreeMap<RunName, Absence>,
    /// Lives whose agents may need an order.
    dirty: BTreeSet<String>,
    /// Lives of which a placed run may not be listed, or may have to stop; all others are settled. Looks
    /// at what is due walk these alone.
    unreconciled: BTreeSet<String>,
    /// Candidates that are kept from plan to plan.
    cache: Cache,
    /// When this replica last looked at what is overdue.
    checked_at: Millis,
    /// When what was learned was last written down.
    estimates_written_at: Millis,
    /// Ended jobs, and when this replica learned of it.
    ended: BTreeMap<u64, Millis>,
    outputs: Vec<Output>,
}

impl Leader {
    /// A replica that leads from now on.
    pub fn new(term: u64, timing: Timing, now: Millis) -> Leader {
        Leader {
            term,
            leading_since: now,
            timing,
            workers: BTreeMap::new(),
            health: BTreeMap::new(),
            start_proposed_at: None,
            proposed_losses: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            losses: Losses::default(),
            last_starts: BTreeMap::new(),
            unwanted: BTreeSet::new(),
            forced: BTreeSet::new(),
            moves: BTreeMap::new(),
            avoided: BTreeMap::new(),
            interference: Interference::default(),
            durations: Durations::default(),
            adviser: Adviser::default(),
            batching_since: None,
            waits: BTreeMap::new(),
            absent: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            cache: Cache::default(),
            checked_at: Millis(0),
            estimates_written_at: now,
            ended: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Goes on with what former leaders learned.
    pub fn with_estimates(mut self, estimates: &Lesson, wall: Millis) -> Leader {
        self.interference = Interference::restore(estimates, wall);
        self
    }

    /// An agent reports.
    pub fn report(&mut self, state: &State, now: Millis, link: u64, agent: &str, report: Report) {
        let incarnation = report.worker.clone();
        if report.gone {
            self.retire(state, now, &incarnation, Some(&report));
            return;
        }
        if !self.workers.contains_key(&incarnation) {
            let worker = incarnation.clone();
            self.outputs.push(Output::Decided(Decision::WorkerUp { worker }));
        }
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| Worker::new(agent));
        let new_figures = worker.apply_report(now, link, &report);
        self.replace_former_incarnations(state, now, agent, &incarnation);
        if new_figures {
            self.interference.learn(state, now, &report);
            self.evict(state, now, &incarnation, &report);
        }
        self.withdraw_excess(state, &incarnation);
        self.withdraw_evacuated(state, &incarnation);
        self.propose_ends(state, now, &incarnation, &report);
        self.watch_progress(state, now, &incarnation, &report);
        self.clear_survivors(state, now, &report);
        self.touch(&incarnation);
    }

    /// A link to an agent is lost. Its worker keeps its lease.
    pub fn link_down(&mut self, link: u64) {
        for worker in self.workers.values_mut().filter(|worker| worker.link == Some(link)) {
            worker.link = None;
        }
    }

    /// A change was applied; whatever it concerns is looked at again.
    pub fn applied(&mut self, state: &State, now: Millis, change: &Change, reply: &Reply) {
        match change {
            Change::Start(starts) => {
                self.start_proposed_at = None;
                for start in starts {
                    self.durations.note_start(state, now, start.run);
                    self.last_starts.insert(start.worker.clone(), now);
                    self.touch(&start.worker);
                    self.withdraw_excess(state, &start.worker);
                    self.withdraw_evacuated(state, &start.worker);
                }
            }
            Change::Submit { id, .. } => {
                if let Some(job) = state.job(*id) {
                    self.durations.note_job(job);
                }
            }
            Change::Evacuate { data_centre, .. } | Change::Readmit { data_centre } => {
                for incarnation in self.incarnations_in(data_centre) {
                    self.touch(&incarnation);
                    self.withdraw_evacuated(state, &incarnation);
                }
            }
            Change::Ended { worker, ends, .. } => {
                self.touch(worker);
                for end in ends {
                    self.durations.note_end(now, end.run, end.how == How::Done);
                }
                // The end of one task of a gang stands for all of them.
                let jobs: BTreeSet<u64> = ends.iter().map(|end| end.run.task.job).collect();
                for id in jobs {
                    let incarnations = placed_incarnations(state, id).map(str::to_owned);
                    self.unreconciled.extend(incarnations);
                }
            }
            Change::WorkerLost { worker, .. } => {
                self.note_lost(state, now, worker);
                self.touch(worker);
                self.drop_lost_runs(state);
            }
            Change::Forget(ids) => self.ended.retain(|id, _| !ids.contains(id)),
            Change::Cancel { id, .. } => self.touch_workers_of(state, *id),
            Change::Cleared(runs) => {
                let task = |run: &RunName| state.job(run.task.job)?.task(run.task);
                let incarnations = runs.iter().filter_map(|run| task(run)?.worker.clone());
                let incarnations: Vec<String> = incarnations.collect();
                incarnations.iter().for_each(|incarnation| self.touch(incarnation));
            }
            _ => {}
        }
        if let Reply::Ended(jobs) = reply {
            for (id, _) in jobs {
                self.ended.insert(*id, now);
                self.touch_workers_of(state, *id);
            }
        }
    }

    /// How many jobs of a queue wait with no task begun. What was given to a worker waits until it is listed there:
    /// another task may have taken the worker down in the same moment. On a worker that has not
    /// reported since this replica leads it counts as begun, as most has.
    pub fn waiting(&self, state: &State, queue: &str) -> u64 {
        state.waiting(queue, |run, incarnation| {
            self.workers.get(incarnation).is_none_or(|worker| worker.has_listed(run))
        })
    }

    /// A start proposal could not be made.
    pub fn start_rejected(&mut self) {
        self.start_proposed_at = None;
    }

    /// The workers that run something of a job get an order.
    fn touch_workers_of(&mut self, state: &State, id: u64) {
        for incarnation in placed_incarnations(state, id) {
            self.touch(incarnation);
        }
    }

    /// Something has changed on a life of a worker.
    fn touch(&mut self, incarnation: &str) {
        self.dirty.insert(incarnation.to_owned());
        self.unreconciled.insert(incarnation.to_owned());
        self.cache.touch(incarnation);
    }

    /// Looks at what is due and hands out what the shell must do.
    ///
    /// `granting` tells whether no other replica can lead now; without it nothing is extended,
    /// started or given up.
    pub fn tick(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        exclusive: bool,
    ) -> Vec<Output> {
        if exclusive {
            if now.since(self.checked_at) >= CHECK_INTERVAL_MS {
                self.checked_at = now;
                self.expire_leases(state, now);
                self.forget_expired(state, now);
                self.forget_cleared(state);
                self.drop_reconciled(state);
                self.touch_unreconciled(state, now);
                self.note_absent(state, now);
                self.ask_about_placed(state, now);
                self.propose_estimates(state, now, wall);
            }
            self.plan(state, now, wall);
            self.send_orders(state, now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Proposes to keep what was learned since the last time.
    fn propose_estimates(&mut self, state: &State, now: Millis, wall: Millis) {
        if now.since(self.estimates_written_at) < ESTIMATES_INTERVAL_MS {
            return;
        }
        self.estimates_written_at = now;
        let estimates = self.interference.estimates(wall);
        if estimates.images != state.lesson().images {
            self.outputs.push(Output::Propose(Change::Learned(estimates)));
        }
    }

    /// Runs that are placed nowhere need no stop.
    fn drop_lost_runs(&mut self, state: &State) {
        self.unwanted.retain(|run| {
            let task = state.job(run.task.job).and_then(|job| job.task(run.task));
            task.is_some_and(|task| task.run == run.number && task.worker.is_some())
        });
    }

    /// Drops the jobs whose phase has been kept long enough, and what was learned of runs and lives
    /// that are over.
    fn forget_expired(&mut self, state: &State, now: Millis) {
        if self.ended.is_empty() {
            // What ended before this replica led is counted from now.
            self.ended = state.ended().map(|id| (id, now)).collect();
        }
        let retention_ms = self.timing.retention_ms;
        let active = |run: RunName| state.job(run.task.job).is_some_and(|job| !job.phase.ended());
        self.interference.forget(active, |incarnation| self.workers.contains_key(incarnation));
        self.durations.forget(active);
        self.moves.retain(|task, _| active(RunName { task: *task, number: 0 }));
        let expired: Vec<u64> = self
            .ended
            .iter()
            .filter(|(_, at)| now.since(**at) > retention_ms)
            .map(|(id, _)| *id)
            .collect();
        if expired.is_empty() {
            return;
        }
        // If the proposal is lost, it is made again after as long.
        self.ended.extend(expired.iter().map(|id| (*id, now)));
        self.avoided.retain(|task, _| !expired.contains(&task.job));
        self.adviser.forget(|job| expired.contains(&job));
        self.outputs.push(Output::Propose(Change::Forget(expired)));
    }
}

/// The lives of workers that have something of a job.
fn placed_incarnations(state: &State, id: u64) -> impl Iterator<Item = &str> {
    let times = state.job(id).into_iter().flat_map(|job| &job.times);
    times.flatten().flatten().filter_map(|task| task.worker.as_deref())
}
