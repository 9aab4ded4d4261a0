//! Metrics, sent to a statsd server or kept in memory and read as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;
use pond_settings::Metrics as Settings;

/// Maximum number of queued metrics; further ones are dropped.
const QUEUE_CAPACITY: usize = 4096;

/// Largest duration a histogram can represent, in microseconds; longer ones saturate.
const MAX_DURATION_US: u64 = 120_000_000;

/// Significant decimal digits of durations in a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles reported for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Maximum number of metric names kept, so that callers cannot exhaust memory.
const MAX_NAMES: usize = 512;

/// Counters, gauges and durations of a process; discarded unless configured.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
    recorder: Option<Arc<Mutex<Recorder>>>,
}

/// Metrics kept in memory.
#[derive(Debug, Default)]
struct Recorder {
    counts: BTreeMap<String, i64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

impl Recorder {
    fn time_us(&mut self, name: &str, us: u64) {
        if !self.times.contains_key(name) {
            let created = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
            // Cannot fail: the bounds are valid constants.
            let (Ok(histogram), true) = (created, self.times.len() < MAX_NAMES) else { return };
            self.times.insert(name.to_owned(), histogram);
        }
        if let Some(histogram) = self.times.get_mut(name) {
            histogram.saturating_record(us.max(1));
        }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for (name, count) in &self.counts {
            push_line(&mut text, name, count);
        }
        for (name, gauge) in &self.gauges {
            push_line(&mut text, name, gauge);
        }
        for (name, histogram) in &self.times {
            push_line(&mut text, &format!("{name}_us_count"), histogram.len());
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                push_line(&mut text, &format!("{name}_us{{quantile=\"{quantile}\"}}"), value);
            }
            push_line(&mut text, &format!("{name}_us_max"), histogram.max());
        }
        text
    }
}

fn push_line(text: &mut String, name: &str, value: impl std::fmt::Display) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{name} {value}");
}

impl Metrics {
    /// Sends metrics to the configured statsd server, if any, under the prefix `pondbay.{role}`.
    ///
    /// # Errors
    /// The I/O error if no UDP socket can be opened.
    pub fn start(settings: Option<Settings>, role: &str) -> std::io::Result<Metrics> {
        let Some(settings) = settings else { return Ok(Metrics::default()) };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(settings.statsd, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        let client = StatsdClient::from_sink(&format!("pondbay.{role}"), sink);
        Ok(Metrics { client: Some(Arc::new(client)), recorder: None })
    }

    /// Keeps metrics in memory, to be read with [`Metrics::text`].
    pub fn in_memory() -> Metrics {
        Metrics { client: None, recorder: Some(Arc::default()) }
    }

    /// Renders the metrics in memory, one per line; durations as quantiles in microseconds.
    pub fn text(&self) -> String {
        self.with_memory(|recorder| recorder.text()).unwrap_or_default()
    }

    fn with_memory<T>(&self, operation: impl FnOnce(&mut Recorder) -> T) -> Option<T> {
        let recorder = self.recorder.as_ref()?;
        Some(operation(&mut recorder.lock().unwrap_or_else(PoisonError::into_inner)))
    }

    /// Increments a counter by `count`.
    pub fn count(&self, name: &str, count: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, count);
        }
        self.with_memory(|recorder| {
            if recorder.counts.len() < MAX_NAMES || recorder.counts.contains_key(name) {
                *recorder.counts.entry(name.to_owned()).or_default() += count;
            }
        });
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
        self.with_memory(|recorder| recorder.gauges.insert(name.to_owned(), value));
    }

    /// Records a duration in microseconds; statsd receives it in milliseconds.
    pub fn time_us(&self, name: &str, us: u64) {
        if let Some(client) = &self.client {
            let _ = client.time(name, us / 1000);
        }
        self.with_memory(|recorder| recorder.time_us(name, us));
    }
}
