//! Metrics to a statsd server.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use pond_settings::Metrics as Settings;

/// Metrics that may wait to be sent; more are dropped.
const QUEUE: usize = 4096;

/// Counts, gauges and times of a process; without settings they go nowhere.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
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
        Ok(Metrics { client: Some(Arc::new(client)) })
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, count: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, count);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Takes in a time in microseconds; sent in milliseconds.
    pub fn time_us(&self, name: &str, us: u64) {
        if let Some(client) = &self.client {
            let _ = client.time(name, us / 1000);
        }
    }
}
