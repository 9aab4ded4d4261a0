//! A run as its agent sees it.

use pond_proto::fleet::{RunRow, StartOrder, Watch};
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

/// A worker that answered no longer ago than this was there when a start was called, in milliseconds.
const RECENT_ANSWER_MS: Span = 200;

/// How far a run is.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// It was ordered; no answer yet.
    Starting {
        /// The order.
        order: StartOrder,
        /// Calls without an answer so far.
        attempts: u32,
    },
    /// The worker has it.
    Running,
    /// It is being stopped.
    Stopping,
    /// The worker has confirmed the stop. A list that was asked for after that tells whether there
    /// was anything to stop.
    Stopped {
        /// Number of the last list that was asked for before.
        list_id: u64,
    },
}

/// A run that was ordered or is there.
#[derive(Clone, Debug)]
pub struct Run {
    /// How far it is.
    pub phase: Phase,
    /// A call about it is on its way; once it should stop, a call to stop it.
    pub calling: bool,
    /// When to call again.
    pub due: Millis,
    /// Calls in a row that were not done.
    pub failures: u32,
    /// What the worker last listed.
    pub row: RunRow,
    /// Number of the last list that was asked for when the worker last listed it as running; none if
    /// it never did.
    pub last_listed: Option<u64>,
    /// When it was first known to be at the worker: its start was confirmed, or it was listed.
    pub confirmed_at: Option<Millis>,
    /// Calls to start it that may have reached the worker.
    pub start_calls: u32,
    /// When the last call to start it was made.
    pub last_start_at: Millis,
    /// Number of the list whose answer the start waits for, so that it is known that the worker lives.
    pub awaited_list: Option<u64>,
    /// A list was asked for to tell the leader that the worker has lived on with it.
    pub list_requested: bool,
    /// How to watch it, as far as known.
    pub watch: Option<Watch>,
    /// What the worker was last told about its pace, in percent; not known of runs that were there
    /// before this agent.
    pub pace: Option<u32>,
}

impl Run {
    /// A run of which the worker has said nothing yet; the first call about it is due at `now`.
    pub fn new(name: RunName, phase: Phase, watch: Option<Watch>, now: Millis) -> Run {
        let row = RunRow { run: name, unlisted: true, ..RunRow::default() };
        Run {
            phase,
            calling: false,
            due: now,
            failures: 0,
            row,
            last_listed: None,
            confirmed_at: None,
            start_calls: 0,
            last_start_at: Millis(0),
            awaited_list: None,
            list_requested: false,
            watch,
            pace: Some(100),
        }
    }

    /// It is at the worker, by what the worker says now.
    pub fn confirm(&mut self, now: Millis) {
        self.confirmed_at.get_or_insert(now);
    }

    /// Whether a call to start it may have reached no list of its life, or more than one did: a later life of the worker
    /// may carry one out.
    pub fn is_unresolved(&self) -> bool {
        self.start_calls > 1 || self.in_flight()
    }

    /// Whether a call to start it was made and no list has shown it yet.
    pub fn in_flight(&self) -> bool {
        self.start_calls > 0 && self.last_listed.is_none()
    }

    /// When the leader wants to know that the worker has lived on with it; none if that is no news.
    pub fn survival_due(&self) -> Option<Millis> {
        let survival_ms = self.watch.as_ref().map_or(0, |watch| watch.tell_ms);
        self.confirmed_at
            .filter(|_| survival_ms > 0)
            .map(|confirmed_at| confirmed_at + Span::from(survival_ms))
    }

    /// What to report of it, if its worker last answered anything at `alive`.
    pub fn row(&self, answered_at: Millis) -> RunRow {
        let lived = self.confirmed_at.map_or(0, |confirmed_at| answered_at.since(confirmed_at));
        let lived_ms = u32::try_from(lived).unwrap_or(u32::MAX);
        let unsent = self.start_calls == 0 && self.confirmed_at.is_none();
        let answered_recently =
            self.start_calls > 0 && self.last_start_at.since(answered_at) <= RECENT_ANSWER_MS;
        let met = self.confirmed_at.is_some() || answered_recently;
        RunRow { lived_ms, unsent, met, ..self.row.clone() }
    }

    /// It should stop from now on. The call does not wait for the answer to one that is on its way:
    /// a worker refuses a start that comes after the stop, and one that gives no answer to the start
    /// would hold back the stop for 0.8 s.
    pub fn stop(&mut self, now: Millis) {
        self.phase = Phase::Stopping;
        self.calling = false;
        self.due = now;
        self.failures = 0;
    }

    /// Whether it should stop, or has.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping | Phase::Stopped { .. })
    }
}
