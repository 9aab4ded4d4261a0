//! Lives of the worker that are over, and starts that may have reached the one after them.
//!
//! A call names the worker's id, and a worker may start again under its id. So a start that was meant for one life
//! may be carried out by the next, of which the leader knows nothing. Were the former life reported as over before
//! that is ruled out, its task would run in two places. Such a run is stopped at the new life first: a worker
//! refuses a start that comes after its stop.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::fleet::{EndRow, Report, RunRow};
use pond_proto::job::RunName;

use super::{Core, Output, Registration};
use crate::run::{Phase, Run};

/// Lives that are over and kept to be reported again, the newest: a leader that has not heard of one ends it once it
/// hears of the next.
const MAX_PREVIOUS: usize = 4;

/// A life that is over, and what is known of its end.
#[derive(Clone, Debug)]
pub(super) struct PreviousIncarnation {
    id: String,
    incarnation: String,
    /// It had said that it would leave.
    left: bool,
    /// The runs that it had at last.
    rows: Vec<RunRow>,
    /// Its ends that were read and are not known to be in the log: nobody else can tell of them.
    ends: Vec<EndRow>,
    /// Runs whose start may reach, or have reached, a later life with the same id.
    unresolved: BTreeSet<RunName>,
}

impl PreviousIncarnation {
    fn report(&self) -> Output {
        Output::Report(Report {
            worker: self.incarnation.clone(),
            gone: true,
            left: self.left,
            runs: self.rows.clone(),
            ends: self.ends.clone(),
            ..Report::default()
        })
    }
}

impl Core {
    /// Keeps what is known of a life that is over.
    pub(super) fn keep_previous(&mut self, worker: Registration) {
        let unresolved =
            self.runs.iter().filter(|(_, run)| run.is_unresolved()).map(|(name, _)| *name);
        let unresolved = unresolved.collect();
        let Registration { id, incarnation, draining: left, .. } = worker;
        self.remember_ended(incarnation.clone());
        let (rows, ends) = (self.rows(), self.ends.values().cloned().collect());
        self.previous.push_back(PreviousIncarnation {
            id,
            incarnation,
            left,
            rows,
            ends,
            unresolved,
        });
        let excess = self.previous.len().saturating_sub(MAX_PREVIOUS);
        self.previous.drain(..excess);
    }

    /// Another worker stands at the address, which refuses what was meant for this one.
    pub(super) fn replaced_by_other(&mut self, now: Millis) {
        self.reset(now, "");
        self.previous.iter_mut().for_each(|previous| previous.unresolved.clear());
        self.report_previous();
    }

    /// Tells the leader of each former life that nothing of it runs any more, and how it ended.
    pub(super) fn report_previous(&mut self) {
        let over = self.previous.iter().filter(|previous| previous.unresolved.is_empty());
        self.outputs.extend(over.map(PreviousIncarnation::report));
    }

    /// A life is the worker from now on: starts that may reach it though they were meant for a former one are
    /// stopped at it.
    pub(super) fn stop_unresolved(&mut self, now: Millis) {
        let Some(id) = self.worker.as_ref().map(|worker| worker.id.clone()) else { return };
        for previous in &mut self.previous {
            if previous.id != id {
                previous.unresolved.clear();
            }
            for name in &previous.unresolved {
                let run = self.runs.entry(*name);
                run.or_insert_with(|| Run {
                    start_calls: 1,
                    ..Run::new(*name, Phase::Stopping, None, now)
                });
            }
        }
        self.report_previous();
    }

    /// Reports the former lives of which the last doubtful start is now known to run nowhere, with its end settled if it
    /// had begun.
    pub(super) fn report_resolved(&mut self) {
        let Some(id) = self.worker.as_ref().map(|worker| worker.id.as_str()) else { return };
        let (runs, ends) = (&self.runs, &self.ends);
        let open =
            |name: &RunName| runs.contains_key(name) || ends.values().any(|end| end.run == *name);
        for previous in &mut self.previous {
            if previous.id == id && !previous.unresolved.is_empty() {
                previous.unresolved.retain(open);
                if previous.unresolved.is_empty() {
                    self.outputs.push(previous.report());
                }
            }
        }
    }
}
