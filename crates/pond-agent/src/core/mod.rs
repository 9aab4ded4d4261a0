//! The agent's decisions.
//!
//! Four things must not go wrong here. A start without an answer is neither running nor not
//! running: it is asked for again, and given up only after a confirmed stop and a list that was
//! asked for after it. An end is forgotten only after control has settled it. The lease is extended
//! only up to times that control granted. What is sent to one life of the worker may reach the next, which may have
//! the same id: only a list tells whose it is.

mod answers;
mod claim;
mod due;
mod previous;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pond_proto::fleet::{EndRow, Order, Report, RunRow, StartOrder};
use pond_proto::job::RunName;
use pond_proto::{Millis, Size, Span};

use crate::pacing::Pacing;
use crate::run::{Phase, Run};
use crate::worker::Call;

use claim::Claim;
use previous::PreviousIncarnation;

/// Lives that are over and remembered as such, the newest: their registrations may still come late.
const MAX_ENDED: usize = 16;

/// A worker's clock may have gone on by this much more than the agent's since it was last read, in
/// milliseconds: a worker may be late to read it, or its clock fast by a hundredth over a minute or two.
const CLOCK_SLACK_MS: Span = 5_000;

/// Registrations that an agent may miss between two, as during a cut of a day with one a second.
const MAX_MISSED: u64 = 100_000;

/// A worker that has said that it ends takes no calls after this time, in milliseconds; one that still does has started
/// again.
const DEREGISTRATION_MS: Span = 3_000;

/// A suspect is started without an answer of its worker after this time, in milliseconds: the worker may be
/// well and its answers lost.
const START_WAIT_MS: Span = 300;

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registration {
    /// The worker. A later life of it may have the same id, and calls name the id alone.
    pub id: String,
    /// This life of it.
    pub incarnation: String,
    /// Where it takes calls.
    pub address: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its room.
    pub room: Size,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It will leave.
    pub draining: bool,
    /// The time that it has left at least, in milliseconds, while it drains.
    pub remaining_ms: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Rises with each registration of this life.
    pub sequence: u64,
}

/// What of a registration does not fit the life that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Another pool.
    Pool,
    /// Another address.
    Address,
    /// A clock that is too far ahead.
    Clock,
    /// A number that is too far ahead.
    Sequence,
}

/// What the shell does for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the worker and hand the answer to [`Core::answer`].
    Call {
        /// Where it takes calls.
        address: String,
        /// The life that is meant.
        incarnation: String,
        /// The fencing token.
        token: u64,
        /// Number of the list, if it is one.
        list_id: u64,
        /// The call.
        call: Call,
    },
    /// Send this to the leader.
    Report(Report),
    /// Write this to the log.
    Observed(Observation),
}

/// Something that an operator may want to know of, and that is not in calls or reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An end was dropped, as its number counts as settled, though its run was there.
    EndRepeated {
        /// The life.
        incarnation: String,
        /// The run.
        run: RunName,
        /// The number of the end.
        number: u64,
        /// Ends up to this number are settled.
        committed: u64,
    },
    /// A run that was listed is on no list any more, and no end of it is left to settle.
    RunVanished {
        /// The life.
        incarnation: String,
        /// The run.
        run: RunName,
        /// Ends up to this number are settled.
        committed: u64,
    },
}

/// The agent's state.
#[derive(Debug, Default)]
pub struct Core {
    /// The life of the worker that has answered a call.
    worker: Option<Registration>,
    /// Lives before this one, the newest last.
    previous: VecDeque<PreviousIncarnation>,
    /// Lives that are over.
    ended: VecDeque<String>,
    /// Lives that have registered and not answered yet.
    claims: Vec<Claim>,
    /// The worker's clock, in milliseconds.
    clock_ms: u64,
    /// When it was last read.
    clock_read_at: Millis,
    /// The highest term of a leader.
    term: u64,
    /// The highest fencing token that a worker refused as too low; zero for none.
    refused_token: u64,
    /// The lease that was granted, on the worker's clock in milliseconds.
    lease_end_ms: u64,
    /// Ends up to this number are in the log.
    committed: u64,
    /// Ends up to this number were acknowledged to the worker, which may forget them.
    acknowledged: u64,
    /// Number of the list that carries an acknowledgement, and the number of the end up to which it goes.
    acknowledging: Option<(u64, u64)>,
    /// Since when an acknowledgement is due.
    acknowledge_since: Millis,
    /// Lists up to this number prove nothing, as a call after them failed: the worker may have started again.
    distrusted_list: Option<u64>,
    /// Number of the list that was asked for because of that.
    check_list: Option<u64>,
    /// When the worker last said that it ends.
    deregistered_at: Option<Millis>,
    runs: BTreeMap<RunName, Run>,
    ends: BTreeMap<u64, EndRow>,
    unstarted: BTreeSet<RunName>,
    last_list_id: u64,
    /// Number of the list that is waited for.
    pending_list: Option<u64>,
    list_due: Millis,
    list_failures: u32,
    /// When this life last listed, or was believed without a list.
    listed_at: Millis,
    /// This life has listed.
    has_listed: bool,
    /// When this life last answered a call.
    answered_at: Millis,
    /// Nobody took the last call at its address.
    unreachable: bool,
    reported_at: Millis,
    /// There is something to report at once.
    report_now: bool,
    pacing: Pacing,
    outputs: Vec<Output>,
}

impl Core {
    /// An agent that knows nothing.
    pub fn new() -> Core {
        Core::default()
    }

    /// The life of the worker, if it is known.
    pub fn incarnation(&self) -> Option<&str> {
        self.worker.as_ref().map(|worker| worker.incarnation.as_str())
    }

    /// Whether a registration says something that was not known, besides the time.
    pub fn has_changes(&self, registration: &Registration) -> bool {
        let known = self.worker.as_ref();
        known.is_none_or(|known| {
            known.incarnation != registration.incarnation
                || known.draining != registration.draining
                || known.room != registration.room
        })
    }

    /// Why a registration that names the known life cannot be its own: a life has one pool and one address, its
    /// clock goes about as fast as the agent's, and it counts its registrations.
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

    /// The worker says something of itself. From a draining worker's on, nothing is started.
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
            // Room that has shrunk is told before the leader counts on it again.
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

    /// Runs whose start has not been confirmed are given up.
    fn cancel_starts(&mut self, now: Millis) {
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Starting { .. }) {
                run.stop(now);
            }
        }
    }

    /// Forgets all of the former life; none is known if `life` is empty.
    fn reset(&mut self, now: Millis, incarnation: &str) {
        if let Some(before) = self.worker.take().filter(|before| before.incarnation != incarnation)
        {
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

    /// Whether calls are of use: a leader is known, and no worker has refused its term as too low.
    fn may_call(&self) -> bool {
        self.term > self.refused_token
    }

    /// The worker of that id says that it ends. The word may come late, when the worker has started again under its id, so
    /// it is believed once nobody takes calls any more.
    pub fn deregistered(&mut self, now: Millis, id: &str) {
        if self.worker.as_ref().is_some_and(|worker| worker.id == id) {
            self.deregistered_at = Some(now);
            self.request_list(0);
        }
    }

    /// Nobody takes calls at the worker's address: whether it has left, as it had said.
    fn has_left(&mut self, now: Millis) -> bool {
        let left = self.deregistered_at.is_some_and(|at| now.since(at) < DEREGISTRATION_MS);
        if left && let Some(worker) = &mut self.worker {
            worker.draining = true;
        }
        left
    }

    /// What to report of the runs.
    fn rows(&self) -> Vec<RunRow> {
        self.runs.values().map(|run| run.row(self.answered_at)).collect()
    }

    /// There is a link to a leader that may know nothing of this agent.
    pub fn leader_up(&mut self, term: u64) {
        self.term = self.term.max(term);
        self.report_now = true;
        self.report_previous();
        self.query_claims();
    }

    /// Control orders something.
    pub fn order(&mut self, now: Millis, order: Order) {
        if order.term < self.term || self.incarnation() != Some(order.worker.as_str()) {
            return;
        }
        self.term = order.term;
        self.lease_end_ms = self.lease_end_ms.max(order.lease_end_ms);
        self.commit_ends(now, order.settled);
        for run in &order.forget {
            self.unstarted.remove(run);
        }
        for watch in &order.watches {
            if let Some(run) = self.runs.get_mut(&watch.run) {
                run.watch = Some(watch.clone());
            }
        }
        for start in order.starts {
            self.start(now, start);
        }
        for run in order.stops {
            self.stop(now, run);
        }
    }

    /// Ends up to this number are in the log; once none is left the worker is asked again.
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
        // Whether a suspect took the worker down can be told only if the worker is known to live when the
        // suspect starts, and for how long all else has lived there.
        let await_answer = order.watch.tell_ms > 0 && !draining;
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
