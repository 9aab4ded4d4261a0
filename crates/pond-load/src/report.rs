//! Summary of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::sample::{Outcome, Sample};

/// Maximum latency of the histogram, in microseconds; longer ones saturate.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counts and latencies of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub name: String,
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Complete answers per second.
    pub answered_per_s: f64,
    /// Complete answers.
    pub answered: usize,
    /// Answers with a failure status.
    pub failed: usize,
    /// Requests that did not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
    /// Requests whose connection was refused, lost or timed out.
    pub lost: usize,
    /// Answers that were invalid, incomplete or belonged to another request.
    pub wrong: usize,
    /// Latency of complete answers.
    pub latency: Quantiles,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

/// Latency quantiles in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// 50th percentile.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl Report {
    /// Summarizes the samples of a load that took `duration`.
    pub fn new(name: &str, samples: &[Sample], duration: Duration) -> Report {
        let count = |outcome| samples.iter().filter(|sample| sample.outcome == outcome).count();
        let answered: Vec<&Sample> =
            samples.iter().filter(|sample| sample.outcome == Outcome::Answered).collect();
        let histogram = histogram(&answered);
        Report {
            name: name.to_owned(),
            requests: samples.len(),
            answered_per_s: answered.len() as f64 / duration.as_secs_f64().max(1e-9),
            answered: answered.len(),
            failed: count(Outcome::Failed),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            lost: count(Outcome::Lost),
            wrong: count(Outcome::Wrong),
            latency: quantiles(&histogram),
            histogram,
        }
    }

    /// Table headings for [`Report::row`].
    pub const HEADINGS: [&'static str; 12] = [
        "run", "asked", "answered", "a second", "not run", "unknown", "lost", "wrong", "p50 ms",
        "p90 ms", "p99 ms", "max ms",
    ];

    /// Formats the report as a table row.
    pub fn row(&self) -> Vec<String> {
        let ms = |us: u64| format!("{:.3}", us as f64 / 1000.0);
        vec![
            self.name.clone(),
            self.requests.to_string(),
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

    /// Returns the latency at a quantile between 0 and 1, in microseconds.
    pub fn latency_at(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}

fn histogram(samples: &[&Sample]) -> Histogram<u64> {
    // Three significant digits; the bounds are always valid.
    let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut histogram = empty.unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for sample in samples {
        histogram.saturating_record(sample.latency.as_micros() as u64);
    }
    histogram
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}
