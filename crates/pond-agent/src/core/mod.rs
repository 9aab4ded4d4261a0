//! Decisions of the agent.
//!
//! The core maintains four invariants:
//!
//! - A start without an answer counts neither as running nor as not running. It is repeated, and
//!   given up only after a confirmed stop and a list requested after that stop.
//! - An end is forgotten only after control has committed it.
//! - The lease is extended only up to times that control granted, and after it has expired only
//!   once control has granted another one.
//! - A call meant for one incarnation of the worker can reach the next, which may have the same ID.
//!   Only a list identifies its incarnation.

mod answers;
mod claim;
mod due;
mod evidence;
mod lease;
mod previous;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder};
use pond_proto::job::RunName;
use pond_proto::{Millis, Size, Span};

use crate::pacing::Pacing;
use crate::run::{Phase, Run};
use crate::worker::Call;

use claim::Claim;
pub use evidence::Evidence;
use lease::Lease;
use previous::PreviousIncarnation;

/// Number of ended incarnations that are remembered, the newest. Their registrations can still
/// arrive late.
const MAX_ENDED: usize = 16;

/// How far the worker's clock may have advanced beyond the agent's since it was last read, in
/// milliseconds. The worker may be late to read it, or its clock may run fast by 1 % for a minute
/// or two.
const CLOCK_SLACK_MS: Span = 5_000;

/// Number of registrations that an agent may miss in a row, as in a network failure of a day with
/// one registration per second.
const MAX_MISSED: u64 = 100_000;

/// A deregistered worker accepts no calls after this time, in milliseconds. One that still does has
/// restarted.
const DEREGISTRATION_MS: Span = 3_000;

/// A suspect is started without an answer of its worker after this time, in milliseconds. The
/// worker may be healthy and its answers lost.
const START_WAIT_MS: Span = 300;

/// Registration of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registration {
    /// ID of the worker. A later incarnation may have the same ID, and calls contain only the ID.
    pub id: String,
    /// This incarnation of the worker.
    pub incarnation: String,
    /// Address at which it accepts calls.
    pub address: String,
    /// Its pool.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its capacity.
    pub room: Size,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is draining.
    pub draining: bool,
    /// Minimum time left while it drains, in milliseconds.
    pub remaining_ms: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Increases with each registration of this incarnation.
    pub sequence: u64,
}

/// Why a registration does not match the incarnation that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The pool differs.
    Pool,
    /// The address differs.
    Address,
    /// The clock is too far ahead.
    Clock,
    /// The sequence number is too far ahead.
    Sequence,
}

/// An action for the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the worker and pass the answer to [`Core::answer`].
    Call {
        /// Address of the worker.
        address: String,
        /// The intended incarnation.
        incarnation: String,
        /// The fencing token.
        token: u64,
        /// ID of the list if the call requests one, otherwise zero.
        list_id: u64,
        /// The call.
        call: Call,
    },
    /// Send a report to the leader.
    Report(Report),
    /// Log an observation.
    Observed(Observation),
}

/// An observation for operators that appears in neither calls nor reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An end was dropped because its number is already committed, although its run was still
    /// known.
    EndRepeated {
        /// The incarnation.
        incarnation: String,
        /// The run.
        run: RunName,
        /// Number of the end.
        number: u64,
        /// Ends up to this number are committed.
        committed: u64,
    },
    /// A listed run is missing from a later list, and no uncommitted end is left.
    RunVanished {
        /// The incarnation.
        incarnation: String,
        /// The run.
        run: RunName,
        /// Ends up to this number are committed.
        committed: u64,
    },
    /// An incarnation other than the known one has registered and is called to find out whether it
    /// is running.
    Claimed {
        /// The incarnation.
        incarnation: String,
        /// Its pool.
        pool: String,
        /// Address at which it is called.
        address: String,
        /// The known incarnation; empty for none.
        known: String,
        /// For how long the known one has not answered, in milliseconds.
        silent_ms: Span,
    },
    /// A claimed incarnation has become the known one.
    Adopted {
        /// The incarnation.
        incarnation: String,
        /// Its pool.
        pool: String,
        /// Address at which it is called.
        address: String,
    },
    /// A claim was dropped: its incarnation does not run at the address that it gave.
    ClaimDropped {
        /// The incarnation.
        incarnation: String,
        /// Whether a newer claim took its place. Otherwise its address denied it.
        displaced: bool,
    },
    /// A claimed incarnation has answered, but nothing shows that the known one has ended.
    ClaimHeld {
        /// The incarnation.
        incarnation: String,
        /// The known incarnation.
        known: String,
        /// For how long the known one has not answered, in milliseconds.
        silent_ms: Span,
        /// Whether the lease of the known one has certainly expired.
        lapsed: bool,
    },
    /// The known incarnation has ended.
    Ended {
        /// The incarnation.
        incarnation: String,
        /// What shows that it has ended.
        evidence: Evidence,
        /// For how long it had not answered, in milliseconds.
        silent_ms: Span,
        /// Whether its lease had certainly expired.
        lapsed: bool,
        /// Number of its last known runs.
        runs: usize,
    },
    /// The lease of a silent worker has expired, or such a worker answers again.
    Lease {
        /// The incarnation.
        incarnation: String,
        /// Whether it has expired.
        lapsed: bool,
        /// End of the lease that it may have held, on its clock in milliseconds.
        held_ms: u64,
        /// Its clock as last read, in milliseconds.
        clock_ms: u64,
        /// For how long the clock has not been read, in milliseconds.
        silent_ms: Span,
        /// How often its lease has expired.
        lapses: u32,
    },
}

/// State of the agent.
#[derive(Debug, Default)]
pub struct Core {
    /// The incarnation of the worker that has answered a call.
    worker: Option<Registration>,
    /// Incarnations before this one, the newest last.
    previous: VecDeque<PreviousIncarnation>,
    /// Incarnations that have ended.
    ended: VecDeque<String>,
    /// Incarnations that have registered but are not known to be running.
    claims: Vec<Claim>,
    /// The worker's clock, in milliseconds.
    clock_ms: u64,
    /// When the worker's clock was last read.
    clock_read_at: Millis,
    /// The highest known term of a leader.
    term: u64,
    /// The highest fencing token that a worker refused as too low. Zero for none.
    refused_token: u64,
    /// The lease of the worker.
    lease: Lease,
    /// Ends up to this number are committed in the log.
    committed: u64,
    /// Ends up to this number were acknowledged to the worker, which may forget them.
    acknowledged: u64,
    /// ID of the list that carries an acknowledgement, and the number up to which it acknowledges
    /// ends.
    acknowledging: Option<(u64, u64)>,
    /// Since when an acknowledgement has been due.
    acknowledge_since: Millis,
    /// Lists up to this ID do not show that the incarnation still runs, because a later call
    /// failed: the worker may have restarted.
    distrusted_list: Option<u64>,
    /// ID of the list requested to find out whether it has.
    check_list: Option<u64>,
    /// When the worker last deregistered.
    deregistered_at: Option<Millis>,
    runs: BTreeMap<RunName, Run>,
    ends: BTreeMap<u64, EndRow>,
    unstarted: BTreeSet<RunName>,
    last_list_id: u64,
    /// ID of the list whose answer is awaited.
    pending_list: Option<u64>,
    list_due: Millis,
    list_failures: u32,
    /// When this incarnation last returned a list.
    listed_at: Millis,
    /// Lists up to this ID had been requested when this incarnation last returned one.
    listed_before: u64,
    /// Whether the last list may have left out ends, so that a missing run may have ended.
    hides_ends: bool,
    /// Whether this incarnation has returned a list.
    has_listed: bool,
    /// When this incarnation last answered a call.
    answered_at: Millis,
    /// Whether nothing accepted the last call at its address.
    unreachable: bool,
    reported_at: Millis,
    /// Whether a report is due at once.
    report_now: bool,
    pacing: Pacing,
    outputs: Vec<Output>,
}

impl Core {
    /// Creates the core of an agent that has no state yet.
    pub fn new() -> Core {
        Core::default()
    }

    /// Returns the incarnation of the worker, if known.
    pub fn incarnation(&self) -> Option<&str> {
        self.worker.as_ref().map(|worker| worker.incarnation.as_str())
    }

    /// Returns whether a registration changes the incarnation, the draining state or the capacity.
    pub fn has_changes(&self, registration: &Registration) -> bool {
        let known = self.worker.as_ref();
        known.is_none_or(|known| {
            known.incarnation != registration.incarnation
                || known.draining != registration.draining
                || known.room != registration.room
        })
    }

    /// Returns why a registration that names the known incarnation cannot come from it. An
    /// incarnation keeps its pool and address, its clock runs at about the agent's speed, and it
    /// numbers its registrations in order.
    pub fn mismatch(&self, now: Millis, registration: &Registration) -> Option<Mismatch> {
        let known =
            self.worker.as_ref().filter(|known| known.incarnation == registration.incarnation)?;
        let ahead_ms = registration.clock_ms.saturating_sub(self.clock_ms);
        if known.pool != registration.pool {
            Some(Mismatch::Pool)
        } else if known.address != registration.address {
            Some(Mismatch::Address)
        } else if ahead_ms > now.since(self.clock_read_at) + CLOCK_SLACK_MS {
            Some(Mismatch::Clock)
        } else if registration.sequence.saturating_sub(known.sequence) > MAX_MISSED {
            Some(Mismatch::Sequence)
        } else {
            None
        }
    }

    /// Handles a registration. Once the worker has registered as draining, nothing more is started.
    pub fn registered(&mut self, now: Millis, registration: Registration) {
        if self.ended.contains(&registration.incarnation)
            || self.mismatch(now, &registration).is_some()
        {
            return;
        }
        let known =
            self.worker.as_ref().filter(|worker| worker.incarnation == registration.incarnation);
        match known {
            None => return self.claim(now, registration),
            Some(known) if registration.sequence <= known.sequence => return,
            // Reported at once, so that the leader does not place runs on capacity that is gone.
            Some(known) => {
                self.report_now |= known.draining != registration.draining;
                self.report_now |= known.room != registration.room;
            }
        }
        if registration.draining {
            self.cancel_starts(now);
        }
        self.update_clock(now, registration.clock_ms);
        self.worker = Some(registration);
    }

    /// Stops all runs whose start has not been confirmed.
    fn cancel_starts(&mut self, now: Millis) {
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Starting { .. }) {
                run.stop(now);
            }
        }
    }

    /// Resets all state of the previous incarnation, which has ended according to `evidence`.
    /// `incarnation` names the new one, and is empty if none is known.
    fn reset(&mut self, now: Millis, incarnation: &str, evidence: Evidence) {
        if let Some(before) = self.worker.take().filter(|before| before.incarnation != incarnation)
        {
            self.outputs.push(Output::Observed(Observation::Ended {
                incarnation: before.incarnation.clone(),
                evidence,
                silent_ms: now.since(self.answered_at),
                lapsed: self.lease.lapsed,
                runs: self.runs.len(),
            }));
            self.keep_previous(before);
        }
        *self = Core {
            previous: std::mem::take(&mut self.previous),
            ended: std::mem::take(&mut self.ended),
            claims: std::mem::take(&mut self.claims),
            term: self.term,
            refused_token: self.refused_token,
            listed_at: now,
            answered_at: now,
            clock_read_at: now,
            last_list_id: self.last_list_id,
            outputs: std::mem::take(&mut self.outputs),
            ..Core::default()
        };
        self.report_now = true;
        self.report_previous();
    }

    fn remember_ended(&mut self, incarnation: String) {
        self.ended.push_back(incarnation);
        let excess = self.ended.len().saturating_sub(MAX_ENDED);
        self.ended.drain(..excess);
    }

    /// Returns whether calls can succeed: a leader is known, and no worker has refused its term as
    /// too low.
    fn may_call(&self) -> bool {
        self.term > self.refused_token
    }

    /// Handles the deregistration of the worker with this ID. It may arrive late, after the worker
    /// has restarted under its ID, so it takes effect only once nothing accepts calls at the
    /// address.
    pub fn deregistered(&mut self, now: Millis, id: &str) {
        if self.worker.as_ref().is_some_and(|worker| worker.id == id) {
            self.deregistered_at = Some(now);
            self.request_list(0);
        }
    }

    /// Returns whether a worker whose address accepts no calls has left after deregistering.
    fn has_left(&mut self, now: Millis) -> bool {
        let has_left = self.deregistered_at.is_some_and(|at| now.since(at) < DEREGISTRATION_MS);
        if has_left && let Some(worker) = &mut self.worker {
            worker.draining = true;
        }
        has_left
    }

    /// Returns the rows of all runs for a report.
    fn rows(&self) -> Vec<RunRow> {
        self.runs.values().map(|run| run.row(self.answered_at)).collect()
    }

    /// Handles a new link to a leader that may know nothing about this agent.
    pub fn leader_up(&mut self, term: u64) {
        if term > self.term {
            self.revoke_if_lapsed();
        }
        self.term = self.term.max(term);
        self.report_now = true;
        self.report_previous();
        self.query_claims();
    }

    /// Handles an order from control.
    pub fn order(&mut self, now: Millis, order: Order) {
        if order.term < self.term || self.incarnation() != Some(order.worker.as_str()) {
            return;
        }
        self.term = order.term;
        // Control may have sent the lease and the starts before it learned that the lease has
        // expired, and counts the runs as lost.
        let current = order.lapses == self.lease.lapses;
        if current && order.lease_end_ms > 0 {
            self.grant_lease(order.lease_end_ms, order.extension_ms);
        }
        self.commit_ends(now, order.committed);
        for run in &order.forget {
            self.unstarted.remove(run);
        }
        for watch in &order.watches {
            if let Some(run) = self.runs.get_mut(&watch.run) {
                run.watch = Some(watch.clone());
            }
        }
        for start in order.starts.into_iter().filter(|_| current) {
            self.start(now, start);
        }
        for run in order.stops {
            self.stop(now, run);
        }
    }

    /// Records that ends up to this number are committed. If no end is left, a list is requested.
    fn commit_ends(&mut self, now: Millis, committed: u64) {
        if committed <= self.committed {
            return;
        }
        if self.committed == self.acknowledged {
            self.acknowledge_since = now;
        }
        self.committed = committed;
        self.ends.retain(|number, _| *number > committed);
        self.report_resolved();
        if self.ends.is_empty() {
            self.list_due = self.list_due.min(now);
        }
    }

    fn start(&mut self, now: Millis, order: StartOrder) {
        let name = order.run;
        let ended = self.ends.values().any(|end| end.run == name);
        if ended || self.runs.contains_key(&name) || self.unstarted.contains(&name) {
            return;
        }
        let draining = self.worker.as_ref().is_none_or(|worker| worker.draining);
        let watch = Some(order.watch.clone());
        // It can be decided whether a suspect took the worker down only if the worker is known to
        // be up when the suspect starts, and if it is known for how long everything else has run
        // there.
        let await_answer = order.watch.report_after_ms > 0 && !draining;
        let phase = if draining { Phase::Stopping } else { Phase::Starting { order, attempts: 0 } };
        let mut run = Run::new(name, phase, watch, now);
        if await_answer {
            run.awaited_list = Some(self.request_list(0));
            run.due = now + START_WAIT_MS;
        }
        self.runs.insert(name, run);
    }

    fn stop(&mut self, now: Millis, name: RunName) {
        if self.ends.values().any(|end| end.run == name) || self.unstarted.contains(&name) {
            return;
        }
        let run =
            self.runs.entry(name).or_insert_with(|| Run::new(name, Phase::Stopping, None, now));
        if !run.is_stopping() {
            run.stop(now);
        }
    }
}
