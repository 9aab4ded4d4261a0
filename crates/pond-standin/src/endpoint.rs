//! A simulated endpoint, which answers requests after its service time.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pond_http::{Call, Handler, HeaderName, HeaderValue, Limits, Reply, StatusCode, Stop, serve};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::record::Record;

/// Endpoint of a service with a limited number of concurrent requests.
#[derive(Debug)]
pub struct Endpoint {
    slots: Semaphore,
    service_us: u64,
    /// Service time in percent of the undisturbed one; set by the worker and by tests.
    slowdown: Arc<AtomicU64>,
    record: Record,
}

/// Minimum service time, in microseconds, that is simulated by sleeping. Timers are too coarse for
/// shorter times, and the endpoint answers at once.
const MIN_SLEEP_US: u64 = 200;

impl Endpoint {
    /// Starts an endpoint on a free port of the loopback interface and returns its address.
    ///
    /// `service_us` is the service time in microseconds, and `slowdown` scales it in percent.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        slots: u32,
        connections: u32,
        service_us: u64,
        slowdown: Arc<AtomicU64>,
        record: Record,
        stop: Stop,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let slots = Semaphore::new(slots as usize);
        let endpoint = Endpoint { slots, service_us, slowdown, record };
        let limits = Limits {
            max_connections: connections as usize,
            max_body_bytes: 64 << 20,
            ..Limits::default()
        };
        tokio::spawn(serve(listener, limits, stop, Arc::new(endpoint)));
        Ok(address)
    }

    async fn answer(&self, call: Call) -> Reply {
        let Ok(_slot) = self.slots.acquire().await else {
            return Reply::new(StatusCode::SERVICE_UNAVAILABLE, "");
        };
        let body = String::from_utf8_lossy(&call.body);
        let line = body.lines().next().unwrap_or_default().to_owned();
        self.record.start(&line);
        let time_us = self.service_us * self.slowdown.load(Ordering::Relaxed) / 100;
        if time_us >= MIN_SLEEP_US {
            sleep(Duration::from_micros(time_us)).await;
        }
        self.record.finish(&line);
        let checksum = crc32c::crc32c(&call.body);
        let answer =
            format!("answer to {line}\n{} bytes, crc32c {checksum:08x}\n", call.body.len());
        let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
        Reply::new(StatusCode::OK, answer)
            .with_header(HeaderName::from_static("content-type"), content_type)
    }
}

impl Handler for Endpoint {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.answer(call))
    }
}
