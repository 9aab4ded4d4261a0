//! Decisions of the leading replica about workers and runs.
//!
//! A run is ordered only after its start is committed to the log. An end counts only once it is
//! committed, and only then may the worker forget it. A run whose worker cannot be reached counts
//! as ended once its lease has certainly expired: the lease is extended only in reply to a report,
//! and its end is computed from the worker's own clock in that report.

mod absent;
mod admission;
mod advice;
mod ask;
mod blame;
mod cache;
mod cancelled;
mod candidate;
mod capacity;
mod cause;
mod colocation;
mod demand;
mod duration;
mod ends;
mod evacuation;
mod evict;
mod failures;
mod health;
mod hypothesis;
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
mod share;
mod speed;
mod suspect;
mod utilization;
mod wait;
mod withdrawal;
mod work;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::{EndReason, RunName, TaskName};
use pond_proto::{Millis, Span};

use crate::change::{Change, Reply};
use crate::configuration::QueueKey;
use crate::estimates::Estimates;
use crate::state::State;

use absent::Absence;
use admission::Admissions;
use advice::Adviser;
use blame::Losses;
use cache::Cache;
use cancelled::Cancelled;
use demand::Demand;
use duration::Durations;
use ends::Loss;
use failures::Failures;
use health::Health;
use interference::Interference;
use share::{Asked, Vacancies};
use speed::Monitor;
use wait::Wait;
use worker::Worker;

pub use admission::{Admission, Inputs, Reason, Rejection};
pub use advice::{Permit, Question, StepName};
pub use cause::Posterior;
pub use hypothesis::{Likelihood, Weights};
pub use obstacle::{Obstacle, Obstacles};
pub use output::{Decision, Explained, LossKind, Output, ShareFigures, Timing};
pub use ready::Prospect;
pub use speed::{Speeds, Transition};
pub use work::Work;

/// Time after which an order without visible effect is sent again, in milliseconds. A report
/// arrives about every second and after each change.
const ORDER_RETRY_MS: Span = 1_000;

/// Interval between checks for overdue work, in milliseconds. It is about a tenth of the report
/// interval, so it adds little to any wait.
const CHECK_INTERVAL_MS: Span = 100;

/// Time after which a proposal without visible effect is made again, in milliseconds. It is well
/// above the duration of a commit on a slow disk.
const PROPOSAL_RETRY_MS: Span = 3_000;

/// Interval between log entries that store the estimates, in milliseconds. An entry takes a few
/// kilobytes, and a new leader relearns what is lost in about the same time.
const ESTIMATES_INTERVAL_MS: Span = 2_000;

/// Scheduler of a replica while it leads.
#[derive(Debug)]
pub struct Leader {
    term: u64,
    /// When this replica became the leader.
    leading_since: Millis,
    timing: Timing,
    /// Workers that have reported, by incarnation.
    workers: BTreeMap<String, Worker>,
    /// Health of workers, by agent. It persists across incarnations.
    health: BTreeMap<String, Health>,
    /// How the runs of the jobs have ended.
    failures: Failures,
    /// When the pending start proposal was made, if there is one.
    start_proposed_at: Option<Millis>,
    /// Incarnations whose loss is proposed. They get no orders until the loss is committed: a run
    /// that starts or continues there would run in parallel with its replacement.
    proposed_losses: BTreeMap<String, Loss>,
    /// Last reports of incarnations that have ended while a later one still has their runs.
    last_reports: BTreeMap<String, Report>,
    /// Withdrawn runs that are proposed to be forgotten, by agent, with the time of the last
    /// proposal.
    resolving: BTreeMap<String, (Millis, Vec<RunName>)>,
    /// When workers were lost, and which tasks are being cleared.
    losses: Losses,
    /// When a start was last applied for an incarnation.
    last_starts: BTreeMap<String, Millis>,
    /// Runs to stop so that they run elsewhere.
    unwanted: BTreeSet<RunName>,
    /// Runs that were started despite expected interference.
    forced: BTreeSet<RunName>,
    /// How often each task was moved away from serving tasks or slow workers.
    moves: BTreeMap<TaskName, u32>,
    /// Workers on which a run of the task failed or stalled.
    avoided: BTreeMap<TaskName, BTreeSet<String>>,
    /// Interference of best-effort tasks with serving tasks.
    interference: Interference,
    /// Expected durations of tasks.
    durations: Durations,
    /// When the runs were assigned to workers, as far as this leader has seen it.
    run_starts: BTreeMap<RunName, Millis>,
    /// Offered load of the queues.
    demand: Demand,
    /// What short queues have recently asked for.
    asked: Asked,
    /// When the metrics of the shares were last updated.
    shares_reported_at: Millis,
    /// Long-running steps for which there is capacity that short tasks do not use.
    vacancies: Vacancies,
    /// Speeds of the workers.
    monitor: Monitor,
    /// State of admission control.
    admissions: Admissions,
    /// Which workers may run the steps of queues with an adviser.
    adviser: Adviser,
    /// Since when serving tasks have been waiting for placement.
    batching_since: Option<Millis>,
    /// Jobs with tasks that could not be placed in the last plan.
    waits: BTreeMap<u64, Wait>,
    /// Placed runs that their workers have not listed.
    absent: BTreeMap<RunName, Absence>,
    /// Incarnations whose agents may need an order.
    dirty: BTreeSet<String>,
    /// Incarnations with a placed run that may not be listed or may have to stop. All others are
    /// reconciled, and periodic checks skip them.
    unreconciled: BTreeSet<String>,
    /// Candidates that are reused from plan to plan.
    cache: Cache,
    /// When overdue work was last checked.
    checked_at: Millis,
    /// When the estimates were last proposed to the log.
    estimates_written_at: Millis,
    /// Ids that were cancelled while no job had them.
    cancelled: Cancelled,
    /// Ended jobs and when this replica learned of each end.
    ended: BTreeMap<u64, Millis>,
    outputs: Vec<Output>,
}

impl Leader {
    /// Creates the leader of a term.
    pub fn new(term: u64, timing: Timing, now: Millis) -> Leader {
        Leader {
            term,
            leading_since: now,
            timing,
            workers: BTreeMap::new(),
            health: BTreeMap::new(),
            failures: Failures::default(),
            start_proposed_at: None,
            proposed_losses: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            resolving: BTreeMap::new(),
            losses: Losses::default(),
            last_starts: BTreeMap::new(),
            unwanted: BTreeSet::new(),
            forced: BTreeSet::new(),
            moves: BTreeMap::new(),
            avoided: BTreeMap::new(),
            interference: Interference::default(),
            durations: Durations::default(),
            run_starts: BTreeMap::new(),
            demand: Demand::default(),
            asked: Asked::default(),
            shares_reported_at: Millis(0),
            vacancies: Vacancies::default(),
            monitor: Monitor::default(),
            admissions: Admissions::default(),
            adviser: Adviser::default(),
            batching_since: None,
            waits: BTreeMap::new(),
            absent: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            cache: Cache::default(),
            checked_at: Millis(0),
            estimates_written_at: now,
            cancelled: Cancelled::default(),
            ended: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Restores the estimates of former leaders.
    pub fn with_estimates(mut self, estimates: &Estimates, wall: Millis) -> Leader {
        self.interference = Interference::restore(estimates, wall);
        self
    }

    /// Handles the report of an agent.
    pub fn report(&mut self, state: &State, now: Millis, link: u64, agent: &str, report: Report) {
        // Frames of a former link can arrive after those of the present one.
        let outdated = |worker: &Worker| {
            worker.agent == agent && worker.link.is_some_and(|present| link < present)
        };
        if self.workers.values().any(outdated) {
            return;
        }
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
        self.resolve_withdrawn(state, now, agent, &report);
        self.watch_progress(state, now, &incarnation, &report);
        self.record_speed(state, now, &report);
        self.clear_survivors(state, now, &report);
        self.touch(&incarnation);
        if report.lapsed {
            self.lose_lapsed(state, now, &incarnation);
        }
    }

    /// Handles the loss of a link to an agent. The worker keeps its lease.
    pub fn link_down(&mut self, link: u64) {
        for worker in self.workers.values_mut().filter(|worker| worker.link == Some(link)) {
            worker.link = None;
        }
    }

    /// Handles an applied change and re-examines everything that it affects.
    pub fn applied(&mut self, state: &State, now: Millis, change: &Change, reply: &Reply) {
        match change {
            Change::Start(starts) => {
                self.start_proposed_at = None;
                for start in starts {
                    self.durations.record_start(state, now, start.run);
                    self.record_speed_start(state, now, start);
                    self.run_starts.insert(start.run, now);
                    self.last_starts.insert(start.worker.clone(), now);
                    self.touch(&start.worker);
                    self.withdraw_excess(state, &start.worker);
                    self.withdraw_evacuated(state, &start.worker);
                }
            }
            Change::Submit { id, .. } => {
                if let Some(job) = state.job(*id).filter(|job| !job.phase.ended()) {
                    self.durations.record_job(job);
                    self.record_demand(now, *id, job);
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
                    let done = end.how == EndReason::Done;
                    // A slow worker tells nothing about how long tasks take.
                    let hindered = done && self.monitor.record_end(now, worker, end.run);
                    self.durations.record_end(now, end.run, done && !hindered);
                    self.run_starts.remove(&end.run);
                }
                // The end of one task of a gang ends all of its tasks.
                let jobs: BTreeSet<u64> = ends.iter().map(|end| end.run.task.job).collect();
                for id in jobs {
                    let incarnations = placed_incarnations(state, id).map(str::to_owned);
                    self.unreconciled.extend(incarnations);
                }
            }
            Change::WorkerLost { worker, .. } => {
                self.record_lost(state, now, worker);
                self.touch(worker);
                self.drop_lost_runs(state);
            }
            Change::Withdrawn { agent, .. } => self.touch_workers_at(agent),
            Change::Resolved { agent, .. } => self.record_resolved(state, agent),
            Change::Forget(ids) => self.ended.retain(|id, _| !ids.contains(id)),
            Change::Cancel { id, .. } if *reply == Reply::NoJob => self.cancelled.record(now, *id),
            Change::Cancel { id, .. } => self.touch_workers_of(state, *id),
            Change::Cleared(runs) => {
                let task = |run: &RunName| state.job(run.task.job)?.task(run.task);
                let incarnations = runs.iter().filter_map(|run| task(run)?.worker.clone());
                let incarnations: Vec<String> = incarnations.collect();
                incarnations.iter().for_each(|incarnation| self.touch(incarnation));
            }
            _ => {}
        }
        for (id, phase) in reply.ended() {
            self.check_forecast(now, *id, *phase);
            self.ended.insert(*id, now);
            self.touch_workers_of(state, *id);
        }
    }

    /// Returns the number of queued jobs of which no task has started. A task that was assigned to
    /// a worker counts as queued until the worker lists it, since another task may have taken the
    /// worker down at that moment. On a worker that has not reported to this leader it counts as
    /// started, as most have.
    pub fn waiting(&self, state: &State, queue: QueueKey<'_>) -> u64 {
        state.waiting_jobs(queue, |run, incarnation| {
            self.workers.get(incarnation).is_none_or(|worker| worker.has_listed(run))
        })
    }

    /// Handles the rejection of a start proposal.
    pub fn start_rejected(&mut self) {
        self.start_proposed_at = None;
    }

    /// Marks all workers that run tasks of a job as changed.
    fn touch_workers_of(&mut self, state: &State, id: u64) {
        for incarnation in placed_incarnations(state, id) {
            self.touch(incarnation);
        }
    }

    /// Marks an incarnation as changed.
    fn touch(&mut self, incarnation: &str) {
        self.dirty.insert(incarnation.to_owned());
        self.unreconciled.insert(incarnation.to_owned());
        self.cache.touch(incarnation);
    }

    /// Performs the periodic work and returns the outputs for the shell.
    ///
    /// `exclusive` tells whether it is certain that no other replica can lead now. Without that
    /// certainty nothing is extended, started or given up.
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
                self.update_absences(state, now);
                self.mitigate_slow_workers(state, now);
                self.ask_about_placed(state, now);
                self.propose_estimates(state, now, wall);
            }
            self.plan(state, now, wall);
            self.send_orders(state, now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Proposes to store the estimates if they have changed since the last time.
    fn propose_estimates(&mut self, state: &State, now: Millis, wall: Millis) {
        if now.since(self.estimates_written_at) < ESTIMATES_INTERVAL_MS {
            return;
        }
        self.estimates_written_at = now;
        let estimates = self.interference.estimates(wall);
        if estimates.images != state.estimates().images {
            self.outputs.push(Output::Propose(Change::Learned(estimates)));
        }
    }

    /// Drops unwanted runs that are no longer placed: they need no stop.
    fn drop_lost_runs(&mut self, state: &State) {
        self.unwanted.retain(|run| {
            let task = state.job(run.task.job).and_then(|job| job.task(run.task));
            task.is_some_and(|task| task.run == run.number && task.worker.is_some())
        });
    }

    /// Drops ended jobs whose retention period is over, and data about runs and incarnations that
    /// have ended.
    fn forget_expired(&mut self, state: &State, now: Millis) {
        if self.ended.is_empty() {
            // The retention period of jobs that ended before this replica led starts now.
            self.ended = state.ended().map(|id| (id, now)).collect();
        }
        let retention_ms = self.timing.retention_ms;
        let active = |run: RunName| state.job(run.task.job).is_some_and(|job| !job.phase.ended());
        self.interference.forget(active, |incarnation| self.workers.contains_key(incarnation));
        self.durations.forget(active);
        self.run_starts.retain(|run, _| active(*run));
        self.moves.retain(|task, _| active(RunName { task: *task, number: 0 }));
        let expired: Vec<u64> = self
            .ended
            .iter()
            .filter(|(_, at)| now.since(**at) > retention_ms)
            .map(|(id, _)| *id)
            .collect();
        let cancelled = self.cancelled.expired(state, now, retention_ms);
        if !cancelled.is_empty() {
            self.outputs.push(Output::Propose(Change::Forget(cancelled)));
        }
        if expired.is_empty() {
            return;
        }
        // If the proposal is lost, it is made again after another retention period.
        self.ended.extend(expired.iter().map(|id| (*id, now)));
        self.avoided.retain(|task, _| !expired.contains(&task.job));
        self.failures.retain(|job| !expired.contains(&job));
        self.adviser.forget(|job| expired.contains(&job));
        self.outputs.push(Output::Propose(Change::Forget(expired)));
    }
}

/// Returns the incarnations that have tasks of a job.
fn placed_incarnations(state: &State, id: u64) -> impl Iterator<Item = &str> {
    let repetitions = state.job(id).into_iter().flat_map(|job| &job.repetitions);
    repetitions.flatten().flatten().filter_map(|task| task.worker.as_deref())
}
