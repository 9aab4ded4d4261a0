//! Timed work of the agent: calls to the worker, paces of runs, reports to control.

use std::collections::BTreeMap;

use pond_proto::fleet::Report;
use pond_proto::{Millis, Span};

use super::{Core, Output};
use crate::pacing::Group;
use crate::run::{Phase, Run};
use crate::worker::Call;

/// How long a list waits for an end, in milliseconds. Each list extends the lease, which lasts
/// several seconds.
const LIST_WAIT_MS: Span = 1_000;

/// The same while best-effort and serving runs are co-located, in milliseconds. The pace of the
/// best-effort runs depends on figures that cover half a second each.
const SHORT_LIST_WAIT_MS: Span = 450;

/// Time between reports while nothing changes, in milliseconds. The leader expects one per second.
const REPORT_INTERVAL_MS: Span = 900;

/// How long an acknowledgement waits for a moment without a start in flight, in milliseconds. After
/// that, starts wait for it. A worker can list 500 ends at once, so a few hundred of them can wait.
const ACKNOWLEDGE_WAIT_MS: Span = 1_000;

/// How long starts wait for an acknowledgement at a time, in milliseconds. A responsive worker has
/// listed all started runs by then. An unresponsive one must not block everything else.
const START_HOLD_MS: Span = 200;

/// A worker that has returned no list for this long counts as unresponsive, in milliseconds. This
/// is about two lists, each with its wait of 1 s and the time for an answer.
const UNRESPONSIVE_MS: Span = 3_500;

impl Core {
    /// Does the work that is due and returns the outputs to be carried out.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        if self.worker.is_some() {
            self.check_lapse(now);
            if self.may_call() {
                self.renew_if_due(now);
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

    /// Requests a list immediately if the leader must learn that the worker has survived with a
    /// run.
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

    /// Returns when something is due without further input.
    pub fn due(&self, now: Millis) -> Millis {
        let mut due = self.reported_at + REPORT_INTERVAL_MS;
        due = self.lease_due().map_or(due, |at| due.min(at));
        if !self.may_call() {
            return due.max(now);
        }
        if self.pending_list.is_none() {
            due = due.min(self.list_due);
        }
        let suspended = self.starts_suspended(now);
        for run in self.runs.values().filter(|run| !run.calling) {
            let starts = matches!(run.phase, Phase::Starting { .. }) && !suspended;
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

    /// Returns how long the next list waits for an end, in milliseconds.
    fn wait_ms(&self) -> Span {
        let watches = || self.runs.values().filter_map(|run| run.watch.as_ref());
        let serves = watches().any(|watch| watch.tail_target_ms > 0);
        if serves && watches().any(|watch| watch.best_effort) {
            SHORT_LIST_WAIT_MS
        } else {
            LIST_WAIT_MS
        }
    }

    /// Makes the call that is due for each run without a call in flight.
    fn call_due(&mut self, now: Millis) {
        let lease_end_ms = self.extend_lease();
        let suspended = self.starts_suspended(now);
        let mut calls = Vec::new();
        for (name, run) in &mut self.runs {
            if run.calling || now < run.due {
                continue;
            }
            let call = match &run.phase {
                Phase::Starting { .. } if suspended => continue,
                Phase::Starting { order, .. } => {
                    run.start_calls += 1;
                    run.last_start_at = now;
                    Call::Start {
                        run: *name,
                        text: order.text.clone(),
                        checkpoint: order.checkpoint.clone(),
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

    /// Updates the paces from the latest figures and sends each changed pace to the worker.
    pub(super) fn update_paces(&mut self, now: Millis) {
        let serving = self.runs.values().filter_map(|run| {
            let target = run.watch.as_ref()?.tail_target_ms;
            (target > 0 && run.row.percent == 100).then_some((run.row.measurement, target))
        });
        let mut groups: BTreeMap<String, Group> = BTreeMap::new();
        for watch in self.runs.values().filter_map(|run| run.watch.as_ref()) {
            if watch.best_effort {
                let group =
                    groups.entry(watch.image.clone()).or_insert(Group { blame_permille: 0 });
                group.blame_permille += u64::from(watch.interference_permille);
            }
        }
        self.pacing.update(now, serving, &groups);
        let mut calls = Vec::new();
        for (name, run) in &mut self.runs {
            let Some(watch) = run.watch.as_ref().filter(|watch| watch.best_effort) else {
                continue;
            };
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

    /// Requests a list that acknowledges nothing, and returns its ID.
    pub(super) fn request_list(&mut self, wait_ms: Span) -> u64 {
        self.last_list_id += 1;
        let lease_end_ms = self.extend_lease();
        self.call(self.last_list_id, Call::List { lease_end_ms, committed: 0, wait_ms });
        self.last_list_id
    }

    /// Tells the worker which ends it may forget: once, and only while no start is in flight. A
    /// worker may restart under its ID between two lists and number its ends anew. If the new
    /// incarnation received a start before the acknowledgement, it would forget ends that nobody
    /// has read, and their tasks would run again.
    fn acknowledge(&mut self) {
        let due = self.committed > self.acknowledged && self.acknowledging.is_none();
        let starts = || self.runs.values().any(|run| run.in_flight() && !self.awaits_end(run));
        if !due || self.distrusted_list.is_some() || starts() {
            return;
        }
        self.last_list_id += 1;
        let (lease_end_ms, committed) = (self.extend_lease(), self.committed);
        self.acknowledging = Some((self.last_list_id, committed));
        self.call(self.last_list_id, Call::List { lease_end_ms, committed, wait_ms: 0 });
    }

    /// Returns whether the end of a run may be listed only after an acknowledgement: the last list left
    /// out ends, and the worker had stopped the run or confirmed its start well before.
    fn awaits_end(&self, run: &Run) -> bool {
        let reached = match run.phase {
            Phase::Stopped { .. } => true,
            Phase::Running => run
                .confirmed_at
                .is_some_and(|confirmed_at| self.listed_at.since(confirmed_at) > UNRESPONSIVE_MS),
            Phase::Starting { .. } | Phase::Stopping => false,
        };
        self.hides_ends && reached
    }

    /// Returns whether starts are suspended: the worker may have restarted or has no lease, or an
    /// acknowledgement is in flight or has waited too long.
    fn starts_suspended(&self, now: Millis) -> bool {
        let waits = self.committed > self.acknowledged;
        let waited_ms = now.since(self.acknowledge_since);
        let overdue =
            waits && waited_ms % (ACKNOWLEDGE_WAIT_MS + START_HOLD_MS) >= ACKNOWLEDGE_WAIT_MS;
        self.distrusted_list.is_some()
            || self.acknowledging.is_some()
            || self.lease.lapsed
            || overdue
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
            responsive: self.has_listed
                && !self.unreachable
                && !self.lease.lapsed
                && now.since(self.listed_at) < UNRESPONSIVE_MS,
            gone: false,
            runs: self.rows(),
            ends: self.ends.values().cloned().collect(),
            deregistered: false,
            unstarted: self.unstarted.iter().copied().collect(),
            data_centre: worker.data_centre.clone(),
            remaining_ms: worker.remaining_ms,
            lapsed: self.lease.lapsed,
            lapses: self.lease.lapses,
        };
        self.outputs.push(Output::Report(report));
    }
}
