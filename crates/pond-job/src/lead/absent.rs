//! Runs that are placed and not at work: a line for each, bounded in number.

use std::collections::BTreeMap;

use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::worker::Worker;
use super::{Decision, Leader, Output};
use crate::state::State;

/// A run that its worker has not listed for this long gets a line, in milliseconds: an order, the call
/// and a list take some tens of milliseconds, a list that waits a second at most.
const LATE_MS: Span = 2_000;

/// A run gets a line at most this often, in milliseconds.
const LINE_MS: Span = 1_000;

/// Lines in one look at most. There are ten looks a second, so many such runs do not flood the log.
const LINES: usize = 4;

/// Since when a run has been placed without being listed, as far as this leader knows, and when that
/// was last logged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    since: Millis,
    logged: Option<Millis>,
}

impl Absence {
    /// Whether a line is due.
    fn line_due(&self, now: Millis) -> bool {
        now.since(self.since) >= LATE_MS && self.logged.is_none_or(|at| now.since(at) >= LINE_MS)
    }
}

impl Leader {
    /// Keeps since when placed runs are not listed by their workers, and logs those that take long.
    pub(super) fn note_absent(&mut self, state: &State, now: Millis) {
        let known = std::mem::take(&mut self.absent);
        let mut absent = BTreeMap::new();
        let mut lines = 0;
        let unknown = state.workers().filter(|life| !self.workers.contains_key(*life));
        let lives: Vec<String> =
            unknown.map(str::to_owned).chain(self.unsettled.iter().cloned()).collect();
        for life in &lives {
            let worker = self.workers.get(life);
            let listed = |run: RunName| worker.is_some_and(|worker| worker.has_listed(run));
            for run in state.placed(life).filter(|run| !listed(*run)) {
                let new = Absence { since: now, logged: None };
                let mut absence = known.get(&run).copied().unwrap_or(new);
                if lines < LINES && absence.line_due(now) {
                    absence.logged = Some(now);
                    lines += 1;
                    let absent_ms = now.since(absence.since);
                    let decision = self.absent_line(state, run, life, worker, absent_ms);
                    self.outputs.push(Output::Decided(decision));
                }
                absent.insert(run, absence);
            }
        }
        self.absent = absent;
    }

    fn absent_line(
        &self,
        state: &State,
        run: RunName,
        life: &str,
        worker: Option<&Worker>,
        absent_ms: Span,
    ) -> Decision {
        let ordered = worker.and_then(|worker| worker.ordered.get(&run));
        Decision::Absent {
            run,
            worker: life.to_owned(),
            absent_ms,
            linked: worker.is_some_and(|worker| worker.link.is_some()),
            answers: worker.is_some_and(|worker| worker.answers),
            known_to_agent: worker.is_some_and(|worker| worker.rows.contains_key(&run)),
            stopping: !self.wanted(state, run),
            orders: ordered.map_or(0, |order| order.times),
        }
    }
}
