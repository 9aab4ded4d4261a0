//! Log lines about placed runs that their workers do not list, with a limit on their number.

use std::collections::BTreeMap;

use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::worker::Worker;
use super::{Decision, Leader, Output};
use crate::state::State;

/// A run is logged if its worker has not listed it for this long, in milliseconds. An order, the
/// call and a list take some tens of milliseconds; a list is delayed by a second at most.
const LOG_AFTER_MS: Span = 2_000;

/// Minimum interval between the log lines of a run, in milliseconds.
const LOG_INTERVAL_MS: Span = 1_000;

/// Maximum number of log lines per check. There are ten checks per second, so many such runs do not
/// flood the log.
const MAX_LOG_LINES: usize = 4;

/// Since when this leader has known a run as placed but not listed, and when that was last logged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    since: Millis,
    logged_at: Option<Millis>,
}

impl Absence {
    /// Returns whether a log line is due.
    fn log_due(&self, now: Millis) -> bool {
        now.since(self.since) >= LOG_AFTER_MS
            && self.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL_MS)
    }
}

impl Leader {
    /// Updates since when placed runs are not listed by their workers, and logs long absences.
    pub(super) fn update_absences(&mut self, state: &State, now: Millis) {
        let known = std::mem::take(&mut self.absent);
        let mut absent = BTreeMap::new();
        let mut lines = 0;
        let unknown =
            state.workers().filter(|incarnation| !self.workers.contains_key(*incarnation));
        let incarnations: Vec<String> =
            unknown.map(str::to_owned).chain(self.unreconciled.iter().cloned()).collect();
        for incarnation in &incarnations {
            let worker = self.workers.get(incarnation);
            let listed = |run: RunName| worker.is_some_and(|worker| worker.has_listed(run));
            for run in state.placed(incarnation).filter(|run| !listed(*run)) {
                let new = Absence { since: now, logged_at: None };
                let mut absence = known.get(&run).copied().unwrap_or(new);
                if lines < MAX_LOG_LINES && absence.log_due(now) {
                    absence.logged_at = Some(now);
                    lines += 1;
                    let absent_ms = now.since(absence.since);
                    let decision =
                        self.absence_decision(state, run, incarnation, worker, absent_ms);
                    self.outputs.push(Output::Decided(decision));
                }
                absent.insert(run, absence);
            }
        }
        self.absent = absent;
    }

    fn absence_decision(
        &self,
        state: &State,
        run: RunName,
        incarnation: &str,
        worker: Option<&Worker>,
        absent_ms: Span,
    ) -> Decision {
        let ordered = worker.and_then(|worker| worker.ordered.get(&run));
        Decision::Absent {
            run,
            worker: incarnation.to_owned(),
            absent_ms,
            linked: worker.is_some_and(|worker| worker.link.is_some()),
            answers: worker.is_some_and(|worker| worker.answers),
            known_to_agent: worker.is_some_and(|worker| worker.rows.contains_key(&run)),
            stopping: !self.wanted(state, run),
            orders: ordered.map_or(0, |order| order.times),
        }
    }
}
