//! Previous incarnations of the worker, and starts that may have reached a later incarnation.
//!
//! A call contains only the worker's ID, and a worker can restart under its ID. The next
//! incarnation may therefore carry out a start that was meant for the previous one, and the leader
//! does not know of it. If the previous incarnation were reported as ended before this is ruled
//! out, its task would run in two places. Such a run is first stopped at the new incarnation: a
//! worker refuses a start that arrives after the stop.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::fleet::{EndRow, Report, RunRow};
use pond_proto::job::RunName;

use super::{Core, Evidence, Output, Registration};
use crate::run::{Phase, Run};

/// Number of previous incarnations that are kept to be reported again, the newest. A leader that
/// got no report of the end of one ends it when the next one is reported.
const MAX_PREVIOUS: usize = 4;

/// An incarnation that has ended, and its last known state.
#[derive(Clone, Debug)]
pub(super) struct PreviousIncarnation {
    id: String,
    incarnation: String,
    /// Whether it had deregistered or was draining.
    deregistered: bool,
    /// Its last known runs.
    rows: Vec<RunRow>,
    /// Its ends that were read and are not known to be committed. No other process can report them.
    ends: Vec<EndRow>,
    /// Runs whose start may have reached, or may still reach, a later incarnation with the same ID.
    unresolved: BTreeSet<RunName>,
}

impl PreviousIncarnation {
    fn report(&self) -> Output {
        Output::Report(Report {
            worker: self.incarnation.clone(),
            gone: true,
            deregistered: self.deregistered,
            runs: self.rows.clone(),
            ends: self.ends.clone(),
            ..Report::default()
        })
    }
}

impl Core {
    /// Keeps the state of an incarnation that has ended.
    pub(super) fn keep_previous(&mut self, worker: Registration) {
        let unresolved =
            self.runs.iter().filter(|(_, run)| run.is_unresolved()).map(|(name, _)| *name);
        let unresolved = unresolved.collect();
        let Registration { id, incarnation, draining: deregistered, .. } = worker;
        self.remember_ended(incarnation.clone());
        let (rows, ends) = (self.rows(), self.ends.values().cloned().collect());
        self.previous.push_back(PreviousIncarnation {
            id,
            incarnation,
            deregistered,
            rows,
            ends,
            unresolved,
        });
        let excess = self.previous.len().saturating_sub(MAX_PREVIOUS);
        self.previous.drain(..excess);
    }

    /// Ends the current incarnation because a different worker answers at its address. That worker
    /// refuses calls meant for the previous one, so no start of it remains unresolved.
    pub(super) fn replaced_by_other(&mut self, now: Millis) {
        self.reset(now, "", Evidence::OtherWorker);
        self.previous.iter_mut().for_each(|previous| previous.unresolved.clear());
        self.report_previous();
    }

    /// Reports each previous incarnation that is certain to run nothing any more, with its ends.
    pub(super) fn report_previous(&mut self) {
        let ended = self.previous.iter().filter(|previous| previous.unresolved.is_empty());
        self.outputs.extend(ended.map(PreviousIncarnation::report));
    }

    /// Stops, at the new incarnation, runs whose start was meant for a previous one and may reach
    /// it.
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

    /// Reports each previous incarnation whose last unresolved start is now known to run nowhere.
    /// If such a run had started, its end is committed first.
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
