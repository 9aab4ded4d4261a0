//! The report of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::tally::{Ended, Tally};

/// Longest latency that the histogram holds, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Counts and latencies of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was measured.
    pub name: String,
    /// Requests.
    pub asked: usize,
    /// Requests a second that were answered.
    pub answered_per_s: f64,
    /// Whole answers.
    pub answered: usize,
    /// Answers with a failure status.
    pub failed: usize,
    /// Requests that did not run.
    pub not_run: usize,
    /// Requests whose fate is unknown.
    pub unknown: usize,
    /// Requests that nothing listened to, or whose connection broke.
    pub lost: usize,
    /// Wrong answers.
    pub wrong: usize,
    /// Latency of whole answers.
    pub latency: Line,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

/// Quantiles of latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Half are faster.
    pub p50: u64,
    /// Nine of ten are faster.
    pub p90: u64,
    /// 99 of 100 are faster.
    pub p99: u64,
    /// 999 of 1000 are faster.
    pub p999: u64,
    /// The slowest.
    pub max: u64,
}

impl Report {
    /// The report of a run that took `time`.
    pub fn new(name: &str, tallies: &[Tally], time: Duration) -> Report {
        let count = |ended| tallies.iter().filter(|tally| tally.ended == ended).count();
        let answered: Vec<&Tally> =
            tallies.iter().filter(|tally| tally.ended == Ended::Answered).collect();
        let histogram = histogram(&answered);
        Report {
            name: name.to_owned(),
            asked: tallies.len(),
            answered_per_s: answered.len() as f64 / time.as_secs_f64().max(1e-9),
            answered: answered.len(),
            failed: count(Ended::Failed),
            not_run: count(Ended::NotRun),
            unknown: count(Ended::Unknown),
            lost: count(Ended::Lost),
            wrong: count(Ended::Wrong),
            latency: line(&histogram),
            histogram,
        }
    }

    /// The heading of the table's rows.
    pub const HEADINGS: [&'static str; 12] = [
        "run", "asked", "answered", "a second", "not run", "unknown", "lost", "wrong", "p50 ms",
        "p90 ms", "p99 ms", "max ms",
    ];

    /// The report as a row of a table.
    pub fn row(&self) -> Vec<String> {
        let ms = |us: u64| format!("{:.3}", us as f64 / 1000.0);
        vec![
            self.name.clone(),
            self.asked.to_string(),
            self.answered.to_string(),
            format!("{:.0}", self.answered_per_s),
            self.not_run.to_string(),
            self.unknown.to_string(),
            (self.lost + self.failed).to_string(),
            self.wrong.to_string(),
            ms(self.latency.p50),
            ms(self.latency.p90),
            ms(self.latency.p99),
            ms(self.latency.max),
        ]
    }

    /// Latency in microseconds at a quantile between 0 and 1.
    pub fn at(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}

fn histogram(tallies: &[&Tally]) -> Histogram<u64> {
    // Three digits, and a range that is always valid.
    let empty = Histogram::new_with_bounds(1, LONGEST_US, 3);
    let mut histogram = empty.unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for tally in tallies {
        histogram.saturating_record(tally.latency.as_micros() as u64);
    }
    histogram
}

fn line(histogram: &Histogram<u64>) -> Line {
    Line {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}
