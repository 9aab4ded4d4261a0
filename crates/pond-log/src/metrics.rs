//! Metrics: to a statsd server, or kept in memory and read as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;
use pond_settings::Metrics as Settings;

/// Metrics that may wait to be sent; more are dropped.
const QUEUE: usize = 4096;

/// Longest time that a histogram tells apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Digits that a histogram keeps of a time.
const DIGITS: u8 = 2;

/// Quantiles that are told of a histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Names that are kept at most, so that no caller can fill the memory.
const NAMES: usize = 512;

/// Counts, gauges and times of a process; without settings they go nowhere.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
    kept: Option<Arc<Mutex<Kept>>>,
}

/// What is kept in memory.
#[derive(Debug, Default)]
struct Kept {
    counts: BTreeMap<String, i64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

impl Kept {
    fn time_us(&mut self, name: &str, us: u64) {
        if !self.times.contains_key(name) {
            let made = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
            // These bounds are valid, so making one does not fail.
            let (Ok(histogram), true) = (made, self.times.len() < NAMES) else { return };
            self.times.insert(name.to_owned(), histogram);
        }
        if let Some(histogram) = self.times.get_mut(name) {
            histogram.saturating_record(us.max(1));
        }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for (name, count) in &self.counts {
            push(&mut text, name, count);
        }
        for (name, gauge) in &self.gauges {
            push(&mut text, name, gauge);
        }
        for (name, histogram) in &self.times {
            push(&mut text, &format!("{name}_us_count"), histogram.len());
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                push(&mut text, &format!("{name}_us{{quantile=\"{quantile}\"}}"), value);
            }
            push(&mut text, &format!("{name}_us_max"), histogram.max());
        }
        text
    }
}

fn push(text: &mut String, name: &str, value: impl std::fmt::Display) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{name} {value}");
}

impl Metrics {
    /// Metrics to the server of the settings, if there is one, under `pondbay.{role}`.
    ///
    /// # Errors
    /// What the system says if there is no UDP socket.
    pub fn start(settings: Option<Settings>, role: &str) -> std::io::Result<Metrics> {
        let Some(settings) = settings else { return Ok(Metrics::default()) };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(settings.statsd, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        let client = StatsdClient::from_sink(&format!("pondbay.{role}"), sink);
        Ok(Metrics { client: Some(Arc::new(client)), kept: None })
    }

    /// Metrics that are kept in memory, for [`Metrics::text`].
    pub fn in_memory() -> Metrics {
        Metrics { client: None, kept: Some(Arc::default()) }
    }

    /// All that is kept, a line each; times as quantiles in microseconds.
    pub fn text(&self) -> String {
        self.with_kept(|kept| kept.text()).unwrap_or_default()
    }

    fn with_kept<T>(&self, act: impl FnOnce(&mut Kept) -> T) -> Option<T> {
        let kept = self.kept.as_ref()?;
        Some(act(&mut kept.lock().unwrap_or_else(PoisonError::into_inner)))
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, count: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, count);
        }
        self.with_kept(|kept| {
            if kept.counts.len() < NAMES || kept.counts.contains_key(name) {
                *kept.counts.entry(name.to_owned()).or_default() += count;
            }
        });
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
        self.with_kept(|kept| kept.gauges.insert(name.to_owned(), value));
    }

    /// Takes in a time in microseconds; sent in milliseconds.
    pub fn time_us(&self, name: &str, us: u64) {
        if let Some(client) = &self.client {
            let _ = client.time(name, us / 1000);
        }
        self.with_kept(|kept| kept.time_us(name, us));
    }
}
