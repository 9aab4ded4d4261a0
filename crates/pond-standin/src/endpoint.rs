//! An endpoint: answers requests after its service time, a few at a time.

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

/// An endpoint of a service.
#[derive(Debug)]
pub struct Endpoint {
    slots: Semaphore,
    service_us: u64,
    /// Hundredths of the undisturbed service time; set by its worker and by tests.
    slowdown: Arc<AtomicU64>,
    record: Record,
}

/// Below this time sleeping is too coarse, so that the endpoint answers at once.
const SHORTEST_SLEEP_US: u64 = 200;

impl Endpoint {
    /// Starts an endpoint on a free port of the loopback interface; its address.
    ///
    /// # Errors
    /// What the system says if there is no port.
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
        let text = String::from_utf8_lossy(&call.body);
        let line = text.lines().next().unwrap_or_default().to_owned();
        self.record.start(&line);
        let time_us = self.service_us * self.slowdown.load(Ordering::Relaxed) / 100;
        if time_us >= SHORTEST_SLEEP_US {
            sleep(Duration::from_micros(time_us)).await;
        }
        self.record.finish(&line);
        let sum = crc32c::crc32c(&call.body);
        let answer = format!("answer to {line}\n{} bytes, crc32c {sum:08x}\n", call.body.len());
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        Reply::new(StatusCode::OK, answer)
            .with_header(HeaderName::from_static("content-type"), plain)
    }
}

impl Handler for Endpoint {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.answer(call))
    }
}
