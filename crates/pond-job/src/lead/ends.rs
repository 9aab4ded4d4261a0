//! Proposals of ends to the log: ends that agents report, and losses of workers.

use std::collections::BTreeSet;

use pond_proto::fleet::{EndRow, Report};
use pond_proto::job::{EndReason, RunName};
use pond_proto::{Millis, Span};

use super::wait::Wait;
use super::worker::Worker;
use super::{Decision, Leader, LossKind, Output, PROPOSAL_RETRY_MS};
use crate::change::{Change, End};
use crate::evidence;
use crate::job::Task;
use crate::state::State;
use crate::suspicion::Blame;

/// The proposed loss of a worker.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    /// The agent of the worker.
    agent: String,
    /// When it was last proposed.
    proposed_at: Millis,
    kind: LossKind,
    /// When the worker was last known to be alive.
    last_alive: Millis,
    /// The runs that were placed there.
    runs: Vec<LostRun>,
    blame: Vec<Blame>,
    evidence: Option<evidence::Loss>,
}

/// The last known state of a run on a lost incarnation.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    pub run: RunName,
    /// How long the worker was known to have survived the run, in milliseconds; `None` if no call
    /// to start it can have reached the worker.
    pub survived_ms: Option<Span>,
    /// Whether the agent reported on the run.
    pub reported: bool,
    /// Whether the worker was known to be alive when the run was started there.
    pub alive_at_start: bool,
    /// Whether the run is known to have started.
    started: bool,
    checkpoint: String,
}

impl Leader {
    /// Retires all former incarnations of an agent's worker, as an agent has one worker at a time.
    pub(super) fn replace_former_incarnations(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        incarnation: &str,
    ) {
        let former = |(other, worker): &(&String, &Worker)| {
            worker.agent == agent && other.as_str() != incarnation
        };
        let known = self.workers.iter().filter(former).map(|(other, _)| other.as_str());
        // A new leader knows former incarnations only from the log.
        let logged = state.incarnations_at(agent).filter(|other| *other != incarnation);
        let former: BTreeSet<String> = known.chain(logged).map(str::to_owned).collect();
        for other in former {
            self.retire(state, now, &other, None);
        }
    }

    /// Returns when the clock of a later incarnation last advanced, if that one has runs that are
    /// placed on this one. A worker that restarts under its id may receive starts that were meant
    /// for its predecessor.
    fn successor_clock(&self, state: &State, incarnation: &str) -> Option<Millis> {
        let agent = self.agent_of(state, incarnation);
        let successor = |(other, worker): &(&String, &Worker)| {
            other.as_str() != incarnation
                && worker.agent == agent
                && state.placed(incarnation).any(|run| worker.knows(run))
        };
        self.workers.iter().filter(successor).map(|(_, worker)| worker.clock_advanced_at).max()
    }

    /// Retires an incarnation that has ended. None of its runs is running any more, unless a later
    /// incarnation has taken some over; that one is first ordered to stop them. The agent may have
    /// reported the end.
    pub(super) fn retire(
        &mut self,
        state: &State,
        now: Millis,
        incarnation: &str,
        end: Option<&Report>,
    ) {
        if self.successor_clock(state, incarnation).is_some() {
            self.workers.get_mut(incarnation).into_iter().for_each(Worker::disconnect);
            self.last_reports.extend(end.map(|end| (incarnation.to_owned(), end.clone())));
            return;
        }
        // Only the last report contains the ends that it listed.
        let last_report = self.last_reports.remove(incarnation);
        let end = end.or(last_report.as_ref());
        let deregistered = end.is_some_and(|end| end.deregistered)
            || self.workers.get(incarnation).is_some_and(|worker| worker.draining);
        let logged =
            state.placed(incarnation).next().is_some() || state.last_committed_end(incarnation) > 0;
        if logged {
            self.propose_last_ends(state, incarnation, end);
            let kind = if deregistered { LossKind::Left } else { LossKind::Crashed };
            self.propose_lost(state, now, incarnation, kind, end);
        }
        let known = self.workers.remove(incarnation).is_some();
        if known && !logged && !deregistered {
            self.losses.record_idle_loss();
        }
    }

    /// Proposes the ends of an incarnation before its loss, since a run that has ended is not lost.
    /// They are proposed only once: proposals are lost only with their leader, and after the loss
    /// they would count again.
    fn propose_last_ends(&mut self, state: &State, incarnation: &str, end: Option<&Report>) {
        let Some(end) = end.filter(|_| !self.proposed_losses.contains_key(incarnation)) else {
            return;
        };
        let ends = last_ends(state, end);
        if !ends.is_empty() {
            let (worker, unstarted) = (incarnation.to_owned(), Vec::new());
            self.outputs.push(Output::Propose(Change::Ended { worker, ends, unstarted }));
        }
    }

    /// Gives up the runs of a worker whose lease has certainly expired according to its agent. Once
    /// another lease was granted, such a report says nothing about the runs there: they were placed
    /// since, and the agent may have received that lease and their starts.
    pub(super) fn lose_lapsed(&mut self, state: &State, now: Millis, incarnation: &str) {
        let granted = |worker: &Worker| worker.granted_lapses == Some(worker.lapses);
        if self.workers.get(incarnation).is_some_and(granted) {
            return;
        }
        let has_runs = state.placed(incarnation).next().is_some();
        // A run that was taken over depends on the lease of the incarnation that runs it.
        if has_runs && self.successor_clock(state, incarnation).is_none() {
            self.propose_lost(state, now, incarnation, LossKind::Silent, None);
        }
    }

    /// Gives up workers whose lease has certainly expired.
    pub(super) fn expire_leases(&mut self, state: &State, now: Millis) {
        let lease_expiry_ms = self.timing.lease_expiry_ms();
        let clock_advanced_at = |incarnation: &str| {
            self.workers
                .get(incarnation)
                .map_or(self.leading_since, |worker| worker.clock_advanced_at)
        };
        // A run that was taken over depends on the lease of the incarnation that runs it.
        let runs_on = |incarnation: &str| {
            let successor_clock = self.successor_clock(state, incarnation);
            successor_clock
                .is_some_and(|clock_advanced_at| now.since(clock_advanced_at) < lease_expiry_ms)
        };
        let silent: Vec<String> = state
            .workers()
            .filter(|incarnation| {
                now.since(clock_advanced_at(incarnation)) >= lease_expiry_ms
                    && !runs_on(incarnation)
            })
            .map(str::to_owned)
            .collect();
        for incarnation in silent {
            self.propose_lost(state, now, &incarnation, LossKind::Silent, None);
        }
        // A proposed loss must be committed even if the worker reports again, as it gets no orders
        // until then. A proposal that gets lost is made again.
        let proposed: Vec<(String, LossKind)> = self
            .proposed_losses
            .iter()
            .map(|(incarnation, loss)| (incarnation.clone(), loss.kind))
            .collect();
        for (incarnation, kind) in proposed {
            self.propose_lost(state, now, &incarnation, kind, None);
        }
        self.workers.retain(|_, worker| {
            worker.link.is_some() || now.since(worker.reported_at) < lease_expiry_ms
        });
        self.last_starts.retain(|incarnation, _| self.workers.contains_key(incarnation));
        self.last_reports.retain(|incarnation, _| state.placed(incarnation).next().is_some());
    }

    /// Proposes that no run of an incarnation is running any more, with the newest known
    /// checkpoints of its runs.
    fn propose_lost(
        &mut self,
        state: &State,
        now: Millis,
        incarnation: &str,
        kind: LossKind,
        end: Option<&Report>,
    ) {
        let earlier = self.proposed_losses.get(incarnation);
        if earlier.is_some_and(|earlier| now.since(earlier.proposed_at) < PROPOSAL_RETRY_MS) {
            return;
        }
        // The first findings are kept: on a repetition only the name of the incarnation is known.
        let lost = earlier.map(|earlier| earlier.runs.clone());
        let lost = lost.unwrap_or_else(|| self.lost_runs(state, incarnation, end));
        let known_kind =
            earlier.map(|earlier| earlier.kind).filter(|kind| *kind != LossKind::Silent);
        let kind = known_kind.unwrap_or(kind);
        let clock_advanced_at = self
            .workers
            .get(incarnation)
            .map_or(self.leading_since, |worker| worker.clock_advanced_at);
        let last_alive = earlier.map_or(clock_advanced_at, |earlier| earlier.last_alive);
        let silent_ms = now.since(clock_advanced_at);
        let worker = incarnation.to_owned();
        let runs: Vec<LostRun> = lost
            .iter()
            .filter(|lost| state.placed(incarnation).any(|run| run == lost.run))
            .cloned()
            .collect();
        let withdrawn: Vec<RunName> = runs.iter().map(|lost| lost.run).collect();
        let started = runs.iter().filter(|lost| lost.started);
        let checkpoints = started.map(|lost| (lost.run, lost.checkpoint.clone())).collect();
        let agent = self.agent_of(state, incarnation);
        let (blame, evidence) = match earlier {
            Some(earlier) if earlier.kind == kind => {
                (earlier.blame.clone(), earlier.evidence.clone())
            }
            _ => self.judge(state, now, &agent, kind, &lost),
        };
        let loss = Loss {
            agent: agent.clone(),
            proposed_at: now,
            kind,
            last_alive,
            runs: lost,
            blame: blame.clone(),
            evidence: evidence.clone(),
        };
        self.proposed_losses.insert(worker.clone(), loss);
        let runs = runs.into_iter().map(|lost| (lost.run, lost.survived_ms)).collect();
        let decision = Decision::WorkerLost { worker: worker.clone(), why: kind, silent_ms, runs };
        self.outputs.push(Output::Decided(decision));
        // Also of an incarnation that has ended: a call to start a run may reach the next one, and
        // perhaps only a former agent knew of it.
        if !withdrawn.is_empty() {
            self.outputs.push(Output::Propose(Change::Withdrawn { agent, runs: withdrawn }));
        }
        let ended = kind != LossKind::Silent;
        self.outputs.push(Output::Propose(Change::WorkerLost {
            worker,
            checkpoints,
            ended,
            blame,
            evidence,
        }));
    }

    /// Handles a committed loss: the jobs of its runs have been starved since the worker was last
    /// known to be alive, unless other runs of theirs continue.
    pub(super) fn record_lost(&mut self, state: &State, now: Millis, incarnation: &str) {
        let Some(loss) = self.proposed_losses.remove(incarnation) else { return };
        self.touch_workers_at(&loss.agent);
        let jobs: BTreeSet<u64> = loss.runs.iter().map(|lost| lost.run.task.job).collect();
        for id in jobs {
            if state.job(id).is_some_and(|job| !job.phase.ended()) {
                self.waits.entry(id).or_insert_with(|| Wait::after_loss(now, loss.last_alive));
            }
        }
    }

    /// Returns whether the loss of a worker of this agent is proposed and not committed.
    pub(super) fn loses_worker_of(&self, agent: &str) -> bool {
        self.proposed_losses.values().any(|loss| loss.agent == agent)
    }

    /// Returns the agent of an incarnation; empty if it is no longer known.
    fn agent_of(&self, state: &State, incarnation: &str) -> String {
        let known = self.workers.get(incarnation).map(|worker| worker.agent.as_str());
        known.or(state.agent_of(incarnation)).unwrap_or_default().to_owned()
    }

    /// Returns the last known state of the runs placed on an incarnation. The final report of the
    /// agent has precedence, as the agent knows which starts it had called.
    fn lost_runs(&self, state: &State, incarnation: &str, end: Option<&Report>) -> Vec<LostRun> {
        let known = self.workers.get(incarnation).map(|worker| &worker.rows);
        let row_of = |run: RunName| match end {
            Some(end) => end.runs.iter().find(|row| row.run == run),
            None => known?.get(&run),
        };
        let lost = |run: RunName| match row_of(run) {
            Some(row) => {
                // Only the agent of that incarnation knows its last calls: a start that was not
                // sent according to an earlier report may have been sent since and have taken the
                // worker down.
                let unsent = row.unsent && end.is_some();
                let survived_ms = (!unsent).then_some(row.survived_ms.into());
                let alive_at_start = row.confirmed_up && end.is_some();
                let started = !row.unlisted || row.survived_ms > 0;
                LostRun {
                    run,
                    survived_ms,
                    reported: true,
                    alive_at_start,
                    started,
                    checkpoint: row.checkpoint.clone(),
                }
            }
            // If the agent reported the end but not the run, it never received the order to start
            // it.
            None => {
                let survived_ms = end.is_none().then_some(0);
                LostRun {
                    run,
                    survived_ms,
                    reported: false,
                    alive_at_start: false,
                    started: false,
                    checkpoint: String::new(),
                }
            }
        };
        let ended =
            |run: &RunName| end.is_some_and(|end| end.ends.iter().any(|row| row.run == *run));
        state.placed(incarnation).filter(|run| !ended(run)).map(lost).collect()
    }

    /// Proposes the ends and unstarted runs of a report if some are new or if the last proposal had
    /// no visible effect. Each proposal contains everything that is not committed: if one were lost
    /// and only later ends were proposed, the lost ends would count as committed along with the
    /// higher numbers.
    pub(super) fn propose_ends(
        &mut self,
        state: &State,
        now: Millis,
        incarnation: &str,
        report: &Report,
    ) {
        let committed = state.last_committed_end(incarnation);
        let placed: BTreeSet<RunName> = state.placed(incarnation).collect();
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let withdrawn: BTreeSet<RunName> = state.withdrawn(&worker.agent).collect();
        let uncommitted = report.ends.iter().filter(|end| end.number > committed);
        let mut ends: Vec<End> = uncommitted.map(end_from).collect();
        ends.sort_by_key(|end| end.number);
        let (unstarted, known): (Vec<RunName>, Vec<RunName>) =
            report.unstarted.iter().partition(|run| placed.contains(run));
        worker.forget.extend(known.into_iter().filter(|run| !withdrawn.contains(run)));
        if ends.is_empty() && unstarted.is_empty() {
            return;
        }
        let (new_ends, new_unstarted) = worker.record_proposed(&ends, &unstarted);
        let has_new = !new_ends.is_empty() || !new_unstarted.is_empty();
        if !has_new && now.since(worker.proposed_at) < PROPOSAL_RETRY_MS {
            return;
        }
        worker.proposed_at = now;
        self.record_ends(state, now, incarnation, &new_ends, &new_unstarted);
        let worker = incarnation.to_owned();
        self.outputs.push(Output::Propose(Change::Ended { worker, ends, unstarted }));
    }

    /// Updates the health of a worker from the ends of its runs and from runs that it did not
    /// start, and records on which workers tasks failed.
    fn record_ends(
        &mut self,
        state: &State,
        now: Millis,
        incarnation: &str,
        ends: &[End],
        unstarted: &[RunName],
    ) {
        let Some(agent) = self.workers.get(incarnation).map(|worker| worker.agent.clone()) else {
            return;
        };
        let health = self.health.entry(agent.clone()).or_default();
        for end in ends {
            self.unwanted.remove(&end.run);
            match end.how {
                EndReason::Done => {
                    health.record_success();
                    self.failures.record_success(end.run.task.job);
                }
                EndReason::Failed => {
                    health.record_failure(now, end.run.task.job);
                    self.failures.record_failure(end.run.task.job, &agent);
                    self.avoided.entry(end.run.task).or_default().insert(incarnation.to_owned());
                }
                _ => {}
            }
        }
        for run in unstarted {
            let unwanted = self.unwanted.remove(run);
            self.adviser.invalidate(*run, incarnation);
            let job = state.job(run.task.job).filter(|job| !job.phase.ended());
            let needed = job.and_then(|job| job.task(run.task)).is_some_and(Task::needs_run);
            // A run that is not wanted, and a run whose ticket may have expired on the way, say
            // nothing about the worker.
            if unwanted || !needed || job.is_none_or(|job| job.advice.is_some()) {
                continue;
            }
            health.record_failure(now, run.task.job);
            self.avoided.entry(run.task).or_default().insert(incarnation.to_owned());
        }
        if let Some(backoff_ms) = health.back_off(now) {
            let worker = incarnation.to_owned();
            self.outputs.push(Output::Decided(Decision::Unhealthy { worker, backoff_ms }));
        }
    }
}

/// Returns the uncommitted ends of an incarnation that has ended, of runs that are placed there,
/// ordered by number.
fn last_ends(state: &State, report: &Report) -> Vec<End> {
    let (incarnation, committed) =
        (report.worker.as_str(), state.last_committed_end(&report.worker));
    let placed: BTreeSet<RunName> = state.placed(incarnation).collect();
    let uncommitted = |row: &&EndRow| row.number > committed && placed.contains(&row.run);
    let mut ends: Vec<End> = report.ends.iter().filter(uncommitted).map(end_from).collect();
    ends.sort_by_key(|end| end.number);
    ends
}

fn end_from(row: &EndRow) -> End {
    End { number: row.number, run: row.run, how: row.how(), checkpoint: row.checkpoint.clone() }
}
