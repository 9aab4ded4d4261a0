//! State of a worker as its agent reports it.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::{Report, RunRow, Watch};
use pond_proto::job::RunName;
use pond_proto::{Millis, Size};

use super::ORDER_RETRY_MS;
use super::progress::Progress;
use crate::change::End;

/// Orders about a run since the link was opened.
#[derive(Clone, Copy, Debug)]
pub struct Orders {
    /// Whether the last order was to start or keep the run, as opposed to stopping it.
    pub keep_running: bool,
    /// When the last order was sent.
    pub at: Millis,
    /// Number of orders sent.
    pub times: u32,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Agent of the worker.
    pub agent: String,
    /// Link to the agent while it is open.
    pub link: Option<u64>,
    /// Whether the link is new, so that the agent may be new as well.
    pub new_link: bool,
    /// When the last report arrived.
    pub reported_at: Millis,
    /// Clock of the worker according to its last report, in milliseconds.
    pub clock_ms: u64,
    /// When its clock last advanced. An agent may report for a dead worker; the clock then stands
    /// still, and so does the end of the lease.
    pub clock_advanced_at: Millis,
    /// Pool of the worker.
    pub pool: String,
    /// Total capacity of the worker.
    pub capacity: Size,
    /// Labels of the worker.
    pub labels: BTreeSet<String>,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Whether it is about to leave and gets no more work.
    pub draining: bool,
    /// Whether it answers its agent.
    pub answers: bool,
    /// How often its lease had expired according to its agent.
    pub lapses: u32,
    /// The value of `lapses` with which a lease was last granted; `None` if none was.
    pub granted_lapses: Option<u32>,
    /// Runs that the worker has or that its agent was ordered to start.
    pub rows: BTreeMap<RunName, RunRow>,
    /// Runs that ended there and whose ends are not known to be committed.
    pub ended: BTreeSet<RunName>,
    /// Progress of the runs.
    pub progress: BTreeMap<RunName, Progress>,
    /// Watches that the agent has received, by run.
    pub watched: BTreeMap<RunName, Watch>,
    /// Orders to start or stop each run since the link was opened.
    pub ordered: BTreeMap<RunName, Orders>,
    /// Ends up to this number have been proposed.
    pub proposed_through: u64,
    /// When ends or unstarted runs were last proposed.
    pub proposed_at: Millis,
    /// Unstarted runs that have been proposed.
    pub unstarted: BTreeSet<RunName>,
    /// Unstarted runs that the agent no longer needs to report.
    pub forget: BTreeSet<RunName>,
}

impl Worker {
    /// Creates a worker about which nothing is known.
    pub fn new(agent: &str) -> Worker {
        Worker {
            agent: agent.to_owned(),
            link: None,
            new_link: false,
            reported_at: Millis(0),
            clock_ms: 0,
            clock_advanced_at: Millis(0),
            pool: String::new(),
            capacity: Size::default(),
            labels: BTreeSet::new(),
            data_centre: String::new(),
            draining: false,
            answers: false,
            lapses: 0,
            granted_lapses: None,
            rows: BTreeMap::new(),
            ended: BTreeSet::new(),
            progress: BTreeMap::new(),
            watched: BTreeMap::new(),
            ordered: BTreeMap::new(),
            proposed_through: 0,
            proposed_at: Millis(0),
            unstarted: BTreeSet::new(),
            forget: BTreeSet::new(),
        }
    }

    /// Stores a report. Returns whether its figures are new.
    pub fn apply_report(&mut self, now: Millis, link: u64, report: &Report) -> bool {
        if self.link != Some(link) {
            self.new_link = true;
            // Orders on the previous link may be lost.
            self.ordered.clear();
        }
        self.link = Some(link);
        self.reported_at = now;
        if report.clock_ms > self.clock_ms || self.clock_advanced_at == Millis(0) {
            self.clock_advanced_at = now;
        }
        self.clock_ms = self.clock_ms.max(report.clock_ms);
        self.pool = report.pool.clone();
        self.capacity = Size::new(report.milli_cpu, report.memory_mib, report.accelerators);
        self.labels = report.labels.iter().cloned().collect();
        self.data_centre = report.data_centre.clone();
        self.draining = report.draining;
        self.answers = report.responsive;
        self.lapses = report.lapses;
        let rows: BTreeMap<RunName, RunRow> =
            report.runs.iter().map(|row| (row.run, row.clone())).collect();
        // Not every report contains new figures.
        let figures = |rows: &BTreeMap<RunName, RunRow>| -> Vec<u32> {
            rows.values().map(|row| row.measurement).collect()
        };
        let new = figures(&rows) != figures(&self.rows);
        let before = std::mem::replace(&mut self.rows, rows);
        self.repeat_ignored_stops(&before);
        self.ended = report.ends.iter().map(|end| end.run).collect();
        new
    }

    /// Makes the stops due again of runs that were listed for the first time after they were ordered
    /// to stop. `before` holds the rows of the last report.
    fn repeat_ignored_stops(&mut self, before: &BTreeMap<RunName, RunRow>) {
        let listed = |rows: &BTreeMap<RunName, RunRow>, run: &RunName| {
            rows.get(run).is_some_and(|row| !row.unlisted)
        };
        let rows = &self.rows;
        let ignored = |run: &RunName| listed(rows, run) && !listed(before, run);
        self.ordered.retain(|run, order| order.keep_running || !ignored(run));
    }

    /// Records proposed ends and unstarted runs. Returns those that were not proposed before.
    pub fn record_proposed(
        &mut self,
        ends: &[End],
        unstarted: &[RunName],
    ) -> (Vec<End>, Vec<RunName>) {
        let new_ends =
            ends.iter().filter(|end| end.number > self.proposed_through).cloned().collect();
        let new_unstarted = unstarted.iter().filter(|run| !self.unstarted.contains(run));
        let new_unstarted = new_unstarted.copied().collect();
        self.proposed_through =
            ends.last().map_or(self.proposed_through, |end| end.number.max(self.proposed_through));
        self.unstarted = unstarted.iter().copied().collect();
        (new_ends, new_unstarted)
    }

    /// Returns whether an order to keep a run running or to stop it may be sent: immediately if the
    /// last order was the opposite, so that a stop does not wait up to a second after a start;
    /// otherwise after the retry interval.
    pub fn order_due(&self, run: RunName, keep_running: bool, now: Millis) -> bool {
        let last = self.ordered.get(&run).filter(|last| last.keep_running == keep_running);
        last.is_none_or(|last| now.since(last.at) >= ORDER_RETRY_MS)
    }

    /// Records an order to keep a run running or to stop it.
    pub fn record_order(&mut self, run: RunName, keep_running: bool, now: Millis) {
        let times = self.ordered.get(&run).map_or(0, |before| before.times);
        self.ordered.insert(run, Orders { keep_running, at: now, times: times.saturating_add(1) });
    }

    /// Returns whether the agent reports the run or its end.
    pub fn knows(&self, run: RunName) -> bool {
        self.rows.contains_key(&run) || self.ended.contains(&run)
    }

    /// Marks this incarnation as unreachable, so that it gets no more orders.
    pub fn disconnect(&mut self) {
        self.link = None;
        self.answers = false;
    }

    /// Returns whether the worker itself has listed a run.
    pub fn has_listed(&self, run: RunName) -> bool {
        self.rows.get(&run).is_some_and(|row| !row.unlisted)
    }
}
