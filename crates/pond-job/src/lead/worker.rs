//! A worker as its agent reports it.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::{Report, RunRow, Watch};
use pond_proto::job::RunName;
use pond_proto::{Millis, Size};

use super::ORDER_RETRY_MS;
use super::progress::Progress;
use crate::change::End;

/// The orders about a run since the link opened.
#[derive(Clone, Copy, Debug)]
pub struct Ordered {
    /// Whether by the last it was to go on, or to stop.
    pub keep_running: bool,
    /// When the last was sent.
    pub at: Millis,
    /// How many were sent.
    pub times: u32,
}

/// One life of a worker.
#[derive(Debug)]
pub struct Worker {
    /// The agent beside it.
    pub agent: String,
    /// The link to the agent, while it is open.
    pub link: Option<u64>,
    /// The link is new, so the agent may be, too.
    pub new_link: bool,
    /// When it last reported.
    pub reported_at: Millis,
    /// Its clock, as last reported, in milliseconds.
    pub clock_ms: u64,
    /// When its clock last went on. An agent may report for a worker that is dead; its clock then
    /// stands still, and so does the end of its lease.
    pub clock_advanced_at: Millis,
    /// Its pool.
    pub pool: String,
    /// Its room.
    pub capacity: Size,
    /// Its labels.
    pub labels: BTreeSet<String>,
    /// Its data centre.
    pub data_centre: String,
    /// It will leave and gets nothing more.
    pub draining: bool,
    /// It answers its agent.
    pub answers: bool,
    /// Runs that it was told of or has.
    pub rows: BTreeMap<RunName, RunRow>,
    /// Runs that ended there and whose ends are not known to be settled.
    pub ended: BTreeSet<RunName>,
    /// How the runs get on.
    pub progress: BTreeMap<RunName, Progress>,
    /// How the agent was told to watch each run.
    pub watched: BTreeMap<RunName, Watch>,
    /// The orders to start or stop each run since the link opened.
    pub ordered: BTreeMap<RunName, Ordered>,
    /// Ends up to this number are proposed.
    pub proposed_through: u64,
    /// When ends or unstarted runs were last proposed.
    pub proposed_at: Millis,
    /// Unstarted runs that are proposed.
    pub unstarted: BTreeSet<RunName>,
    /// Unstarted runs that the agent need not report any more.
    pub forget: BTreeSet<RunName>,
}

impl Worker {
    /// A worker of which nothing is known.
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

    /// Takes in a report; whether its figures are new.
    pub fn apply_report(&mut self, now: Millis, link: u64, report: &Report) -> bool {
        if self.link != Some(link) {
            self.new_link = true;
            // Orders on the former link may be lost.
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
        self.answers = report.answers;
        let rows: BTreeMap<RunName, RunRow> =
            report.runs.iter().map(|row| (row.run, row.clone())).collect();
        // A report may come for another reason than a new list.
        let figures = |rows: &BTreeMap<RunName, RunRow>| -> Vec<u32> {
            rows.values().map(|row| row.figure).collect()
        };
        let new = figures(&rows) != figures(&self.rows);
        self.rows = rows;
        self.ended = report.ends.iter().map(|end| end.run).collect();
        new
    }

    /// Remembers what is proposed; what of it was not proposed before.
    pub fn note_proposed(
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

    /// Whether a run may be ordered to go on or to stop: at once if the last order was another one,
    /// so that a stop does not wait for up to a second after a start; else again after a while.
    pub fn order_due(&self, run: RunName, keep_running: bool, now: Millis) -> bool {
        let last = self.ordered.get(&run).filter(|last| last.keep_running == keep_running);
        last.is_none_or(|last| now.since(last.at) >= ORDER_RETRY_MS)
    }

    /// Remembers that a run was ordered to go on or to stop.
    pub fn note_order(&mut self, run: RunName, keep_running: bool, now: Millis) {
        let times = self.ordered.get(&run).map_or(0, |before| before.times);
        self.ordered.insert(run, Ordered { keep_running, at: now, times: times.saturating_add(1) });
    }

    /// Whether the agent tells of a run, or of its end.
    pub fn knows(&self, run: RunName) -> bool {
        self.rows.contains_key(&run) || self.ended.contains(&run)
    }

    /// Nothing is ordered of it any more.
    pub fn disconnect(&mut self) {
        self.link = None;
        self.answers = false;
    }

    /// Whether the worker itself has listed a run.
    pub fn has_listed(&self, run: RunName) -> bool {
        self.rows.get(&run).is_some_and(|row| !row.unlisted)
    }
}
