//! State of a run at the agent.

use pond_proto::fleet::{RunRow, StartOrder, Watch};
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

/// A worker that answered at most this long before a start call was up when the call was made, in
/// milliseconds.
const RECENT_ANSWER_MS: Span = 200;

/// Progress of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Ordered, but the worker has not confirmed it.
    Starting {
        /// The start order.
        order: StartOrder,
        /// Number of start calls so far that failed and were to be repeated.
        attempts: u32,
    },
    /// The worker has started it.
    Running,
    /// It is to be stopped, and the worker has not confirmed the stop.
    Stopping,
    /// The worker has confirmed the stop. Only a list requested after that shows whether there was
    /// anything to stop.
    Stopped {
        /// ID of the last list requested before the confirmation.
        list_id: u64,
    },
}

/// A run that was ordered or that the worker has listed.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its progress.
    pub phase: Phase,
    /// Whether a call about it is in flight. Once it is to stop, only stop calls count.
    pub calling: bool,
    /// When the next call is due.
    pub due: Millis,
    /// Number of consecutive failed calls.
    pub failures: u32,
    /// The row that the worker listed last.
    pub row: RunRow,
    /// ID of the list that had been requested last when the worker last listed this run. None if it
    /// was never listed.
    pub last_listed: Option<u64>,
    /// When the worker first confirmed or listed it.
    pub confirmed_at: Option<Millis>,
    /// Number of start calls that may have reached the worker.
    pub start_calls: u32,
    /// When the last start call was made.
    pub last_start_at: Millis,
    /// ID of the list whose answer the start waits for. The answer shows that the worker is up.
    pub awaited_list: Option<u64>,
    /// Whether a list was requested to show the leader that the worker has survived with this run.
    pub list_requested: bool,
    /// How to watch it, as far as known.
    pub watch: Option<Watch>,
    /// The pace of the run at the worker, in percent. Unknown for runs that were there before this
    /// agent started.
    pub pace: Option<u32>,
}

impl Run {
    /// Creates a run that the worker has not reported yet. Its first call is due at `now`.
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

    /// Records that the worker reports this run.
    pub fn confirm(&mut self, now: Millis) {
        self.confirmed_at.get_or_insert(now);
    }

    /// Returns whether a later incarnation of the worker may still carry out a start call: one was
    /// made and no list of this incarnation has shown the run, or more than one was made.
    pub fn is_unresolved(&self) -> bool {
        self.start_calls > 1 || self.in_flight()
    }

    /// Returns whether a start call was made and no list has shown the run yet.
    pub fn in_flight(&self) -> bool {
        self.start_calls > 0 && self.last_listed.is_none()
    }

    /// Returns when the leader must learn that the worker has survived with this run. None if the
    /// leader does not need to know.
    pub fn survival_due(&self) -> Option<Millis> {
        let survival_ms = self.watch.as_ref().map_or(0, |watch| watch.report_after_ms);
        self.confirmed_at
            .filter(|_| survival_ms > 0)
            .map(|confirmed_at| confirmed_at + Span::from(survival_ms))
    }

    /// Returns the row to report if the worker last answered any call at `answered_at`.
    pub fn row(&self, answered_at: Millis) -> RunRow {
        let survived = self.confirmed_at.map_or(0, |confirmed_at| answered_at.since(confirmed_at));
        let survived_ms = u32::try_from(survived).unwrap_or(u32::MAX);
        let unsent = self.start_calls == 0 && self.confirmed_at.is_none();
        let answered_recently =
            self.start_calls > 0 && self.last_start_at.since(answered_at) <= RECENT_ANSWER_MS;
        let confirmed_up = self.confirmed_at.is_some() || answered_recently;
        RunRow { survived_ms, unsent, confirmed_up, ..self.row.clone() }
    }

    /// Marks the run to be stopped. The stop call does not wait for the answer to a start call in
    /// flight: the worker refuses a start that arrives after the stop, and a start call without an
    /// answer would delay the stop by 0.8 s.
    pub fn stop(&mut self, now: Millis) {
        self.phase = Phase::Stopping;
        self.calling = false;
        self.due = now;
        self.failures = 0;
    }

    /// Returns whether the run is to be stopped or has been stopped.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping | Phase::Stopped { .. })
    }
}
