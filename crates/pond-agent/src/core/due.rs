//! What the agent does when it is due: calls to its worker, the pace of runs, reports to control.

use std::collections::BTreeMap;

use pond_proto::fleet::Report;
use pond_proto::{Millis, Span};

use super::{Core, Output};
use crate::pacing::Group;
use crate::run::{Phase, Run};
use crate::worker::Call;

/// How long a list waits for an end, in milliseconds: each list extends the lease, which is some
/// seconds long.
const LIST_WAIT_MS: Span = 1_000;

/// The same while filling runs stand beside serving ones: their figures are of half a second.
const SHORT_LIST_WAIT_MS: Span = 450;

/// Time between reports while nothing changes, in milliseconds: the leader counts on one a second.
const REPORT_INTERVAL_MS: Span = 900;

/// An acknowledgement waits this long for a moment in which no start is on its way, in milliseconds; then starts wait for
/// it. A worker lists five hundred ends at once, so it can wait for some hundred of them.
const ACKNOWLEDGE_WAIT_MS: Span = 1_000;

/// Starts wait for an acknowledgement for so long at a time, in milliseconds: a worker that answers has listed all that
/// it was told to start by then. One that does not must not hold up everything else.
const START_HOLD_MS: Span = 200;

/// A worker that has not listed for this long does not answer, in milliseconds: about two lists,
/// each with its wait of a second and the time for an answer.
pub(super) const UNRESPONSIVE_MS: Span = 3_500;

impl Core {
    /// Does what is due and hands out what the shell must do.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        if self.worker.is_some() {
            if self.may_call() {
                self.acknowledge();
                self.call_due(now);
                self.list_if_due(now);
                self.check_survival(now);
            }
            if self.report_now || now.since(self.reported_at) >= REPORT_INTERVAL_MS {
                self.report(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn list_if_due(&mut self, now: Millis) {
        if self.pending_list.is_none() && now >= self.list_due {
            let wait = if self.distrusted_list.is_some() { 0 } else { self.wait_ms() };
            self.pending_list = Some(self.request_list(wait));
        }
    }

    /// Asks for a list at once when the leader wants to know that the worker has lived on with a run.
    fn check_survival(&mut self, now: Millis) {
        let answered_at = self.answered_at;
        let due = |run: &&mut Run| {
            !run.list_requested
                && run.survival_due().is_some_and(|at| at <= now && answered_at < at)
        };
        let found: Vec<&mut Run> = self.runs.values_mut().filter(due).collect();
        if found.is_empty() {
            return;
        }
        found.into_iter().for_each(|run| run.list_requested = true);
        self.request_list(0);
    }

    /// When something is due without any further input.
    pub fn due(&self, now: Millis) -> Millis {
        let mut due = self.reported_at + REPORT_INTERVAL_MS;
        if !self.may_call() {
            return due.max(now);
        }
        if self.pending_list.is_none() {
            due = due.min(self.list_due);
        }
        let holds = self.holds_starts(now);
        for run in self.runs.values().filter(|run| !run.calling) {
            let starts = matches!(run.phase, Phase::Starting { .. }) && !holds;
            if starts || run.phase == Phase::Stopping {
                due = due.min(run.due);
            }
        }
        let unanswered = |at: &Millis| *at > self.answered_at;
        for run in self.runs.values().filter(|run| !run.list_requested) {
            due = run.survival_due().filter(unanswered).map_or(due, |at| due.min(at));
        }
        due.max(now)
    }

    /// How long the next list should wait for an end, in milliseconds.
    fn wait_ms(&self) -> Span {
        let watches = || self.runs.values().filter_map(|run| run.watch.as_ref());
        let serves = watches().any(|watch| watch.tail_target_ms > 0);
        if serves && watches().any(|watch| watch.fills) { SHORT_LIST_WAIT_MS } else { LIST_WAIT_MS }
    }

    /// Calls the worker about each run that is due and has no call on its way.
    fn call_due(&mut self, now: Millis) {
        let lease_end_ms = self.lease_end_ms;
        let holds = self.holds_starts(now);
        let mut calls = Vec::new();
        for (name, run) in &mut self.runs {
            if run.calling || now < run.due {
                continue;
            }
            let call = match &run.phase {
                Phase::Starting { .. } if holds => continue,
                Phase::Starting { order, .. } => {
                    run.start_calls += 1;
                    run.last_start_at = now;
                    Call::Start {
                        run: *name,
                        text: order.text.clone(),
                        checkpoint: order.save.clone(),
                        ticket: order.ticket.clone(),
                        lease_end_ms,
                    }
                }
                Phase::Stopping => Call::Stop { run: *name },
                _ => continue,
            };
            run.calling = true;
            calls.push(call);
        }
        for call in calls {
            self.call(0, call);
        }
    }

    /// Judges the newest figures and tells the worker each pace that has changed.
    pub(super) fn update_paces(&mut self, now: Millis) {
        let serving = self.runs.values().filter_map(|run| {
            let target = run.watch.as_ref()?.tail_target_ms;
            (target > 0 && run.row.percent == 100).then_some((run.row.figure, target))
        });
        let mut groups: BTreeMap<String, Group> = BTreeMap::new();
        for watch in self.runs.values().filter_map(|run| run.watch.as_ref()) {
            if watch.fills {
                let group =
                    groups.entry(watch.image.clone()).or_insert(Group { blame_permille: 0 });
                group.blame_permille += u64::from(watch.blame_permille);
            }
        }
        self.pacing.update(now, serving, &groups);
        let mut calls = Vec::new();
        for (name, run) in &mut self.runs {
            let Some(watch) = run.watch.as_ref().filter(|watch| watch.fills) else { continue };
            let percent = self.pacing.pace(&watch.image);
            if run.phase == Phase::Running && run.pace != Some(percent) && !run.calling {
                run.calling = true;
                calls.push(Call::Pace { run: *name, percent });
            }
        }
        for call in calls {
            self.call(0, call);
        }
    }

    /// Asks for a list that acknowledges nothing; its number.
    pub(super) fn request_list(&mut self, wait_ms: Span) -> u64 {
        self.last_list_id += 1;
        let lease_end_ms = self.lease_end_ms;
        self.call(self.last_list_id, Call::List { lease_end_ms, committed: 0, wait_ms });
        self.last_list_id
    }

    /// Tells the worker which ends it may forget: once, and only while no start is on its way. A worker may start again
    /// under its id between two lists and count its ends anew. If it could have been told to start something before
    /// it gets the acknowledgement, it would forget ends that nobody has read, and their tasks would run again.
    fn acknowledge(&mut self) {
        let due = self.committed > self.acknowledged && self.acknowledging.is_none();
        let starts = || self.runs.values().any(Run::in_flight);
        if !due || self.distrusted_list.is_some() || starts() {
            return;
        }
        self.last_list_id += 1;
        let (lease_end_ms, committed) = (self.lease_end_ms, self.committed);
        self.acknowledging = Some((self.last_list_id, committed));
        self.call(self.last_list_id, Call::List { lease_end_ms, committed, wait_ms: 0 });
    }

    /// Whether nothing may be started now: the worker may have started again, or an acknowledgement is on its way or has
    /// waited for too long.
    fn holds_starts(&self, now: Millis) -> bool {
        let waits = self.committed > self.acknowledged;
        let waited_ms = now.since(self.acknowledge_since);
        let overdue =
            waits && waited_ms % (ACKNOWLEDGE_WAIT_MS + START_HOLD_MS) >= ACKNOWLEDGE_WAIT_MS;
        self.distrusted_list.is_some() || self.acknowledging.is_some() || overdue
    }

    fn call(&mut self, list_id: u64, call: Call) {
        let Some(worker) = &self.worker else { return };
        let (address, incarnation) = (worker.address.clone(), worker.incarnation.clone());
        self.outputs.push(Output::Call { address, incarnation, token: self.term, list_id, call });
    }

    fn report(&mut self, now: Millis) {
        let Some(worker) = &self.worker else { return };
        self.reported_at = now;
        self.report_now = false;
        let report = Report {
            worker: worker.incarnation.clone(),
            pool: worker.pool.clone(),
            milli_cpu: worker.room.milli_cpu,
            memory_mib: worker.room.memory_mib,
            accelerators: worker.room.accelerators,
            labels: worker.labels.clone(),
            draining: worker.draining,
            clock_ms: self.clock_ms,
            answers: self.has_listed
                && !self.unreachable
                && now.since(self.listed_at) < UNRESPONSIVE_MS,
            gone: false,
            runs: self.rows(),
            ends: self.ends.values().cloned().collect(),
            left: false,
            unstarted: self.unstarted.iter().copied().collect(),
            data_centre: worker.data_centre.clone(),
            remaining_ms: worker.remaining_ms,
        };
        self.outputs.push(Output::Report(report));
    }
}
