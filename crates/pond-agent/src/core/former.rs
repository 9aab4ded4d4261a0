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
const FORMER_KEPT: usize = 4;

/// A life that is over, and what is known of its end.
#[derive(Clone, Debug)]
pub(super) struct Former {
    id: String,
    incarnation: String,
    /// It had said that it would leave.
    left: bool,
    /// The runs that it had at last.
    rows: Vec<RunRow>,
    /// Its ends that were read and are not known to be in the log: nobody else can tell of them.
    ends: Vec<EndRow>,
    /// Runs whose start may reach, or have reached, a later life with the same id.
    doubtful: BTreeSet<RunName>,
}

impl Former {
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
    pub(super) fn keep_former(&mut self, worker: Registration) {
        let doubtful = self.runs.iter().filter(|(_, run)| run.in_doubt()).map(|(name, _)| *name);
        let doubtful = doubtful.collect();
        let Registration { id, incarnation, draining: left, .. } = worker;
        self.remember_over(incarnation.clone());
        let (rows, ends) = (self.rows(), self.ends.values().cloned().collect());
        self.formers.push_back(Former { id, incarnation, left, rows, ends, doubtful });
        let more = self.formers.len().saturating_sub(FORMER_KEPT);
        self.formers.drain(..more);
    }

    /// Another worker stands at the address, which refuses what was meant for this one.
    pub(super) fn other_worker(&mut self, now: Millis) {
        self.new_life(now, "");
        self.formers.iter_mut().for_each(|former| former.doubtful.clear());
        self.report_formers();
    }

    /// Tells the leader of each former life that nothing of it runs any more, and how it ended.
    pub(super) fn report_formers(&mut self) {
        let over = self.formers.iter().filter(|former| former.doubtful.is_empty());
        self.outputs.extend(over.map(Former::report));
    }

    /// A life is the worker from now on: starts that may reach it though they were meant for a former one are
    /// stopped at it.
    pub(super) fn stop_doubtful(&mut self, now: Millis) {
        let Some(id) = self.worker.as_ref().map(|worker| worker.id.clone()) else { return };
        for former in &mut self.formers {
            if former.id != id {
                former.doubtful.clear();
            }
            for name in &former.doubtful {
                let run = self.runs.entry(*name);
                run.or_insert_with(|| Run {
                    sent: 1,
                    ..Run::new(*name, Phase::Stopping, None, now)
                });
            }
        }
        self.report_formers();
    }

    /// Reports the former lives of which the last doubtful start is now known to run nowhere, with its end settled if it
    /// had begun.
    pub(super) fn settle_doubts(&mut self) {
        let Some(id) = self.worker.as_ref().map(|worker| worker.id.as_str()) else { return };
        let (runs, ends) = (&self.runs, &self.ends);
        let open =
            |name: &RunName| runs.contains_key(name) || ends.values().any(|end| end.run == *name);
        for former in &mut self.formers {
            if former.id == id && !former.doubtful.is_empty() {
                former.doubtful.retain(open);
                if former.doubtful.is_empty() {
                    self.outputs.push(former.report());
                }
            }
        }
    }
}
