//! An HTTP server with limits that passes on complete requests only.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, header};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::connection::{self, Shared};
use crate::{Budget, Call, Limits, Refused, Reply, Stop};

/// Pause after a failure to accept a connection, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which a new connection tries to close another one, while none can be closed.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// Value of `retry-after` for requests without memory, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Answers a request that was refused before it was complete.
    fn refuse(&self, refused: Refused) -> Reply {
        let reply = Reply::new(refused.status(), format!("{refused:?}\n"));
        match refused {
            Refused::NoMemory => reply.with_header(header::RETRY_AFTER, RETRY_AFTER_S),
            Refused::TooLarge | Refused::TooSlow | Refused::CutOff => reply,
        }
    }
}

/// Serves until `stop` is set and every request that has arrived by then is answered, without a limit on the memory of
/// all requests together. See [`serve_within`].
pub async fn serve(listener: TcpListener, limits: Limits, stop: Stop, handler: Arc<dyn Handler>) {
    serve_within(listener, limits, Budget::unlimited(), stop, handler).await;
}

/// Serves until `stop` is set and every request that has arrived by then is answered. A caller that
/// reads nothing of its answer for some seconds is disconnected, so it does not hold up the shutdown.
///
/// The connections of all servers with this budget stay within it together.
pub async fn serve_within(
    listener: TcpListener,
    limits: Limits,
    budget: Budget,
    stop: Stop,
    handler: Arc<dyn Handler>,
) {
    // If the kernel refuses, only its own limit applies.
    let _ = socket2::SockRef::from(&listener).set_recv_buffer_size(limits.receive_buffer_bytes);
    let closing = Arc::new(AtomicBool::new(false));
    let server = Server {
        key: budget.register(),
        budget,
        permits: Arc::new(Semaphore::new(limits.max_connections)),
        shared: Shared { limits, stop, closing, handler },
    };
    server.run(listener).await;
}

struct Server {
    /// Its key in the budget.
    key: u64,
    budget: Budget,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    shared: Shared,
}

impl Server {
    async fn run(&self, listener: TcpListener) {
        let stop = &self.shared.stop;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.wait() => break,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream).await,
                Err(_) => {
                    self.budget.reclaim(self.key);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        for stream in pending(listener) {
            self.admit(stream).await;
        }
        self.shared.closing.store(true, Ordering::Relaxed);
        // All permits are available once all connections have ended.
        let _ = self.permits.acquire_many(self.shared.limits.max_connections as u32).await;
    }

    /// Serves a connection, and closes others if there are too many. Closes it if there is no memory for it.
    async fn admit(&self, stream: TcpStream) {
        let Some(permit) = self.permit().await else { return };
        let Ok(account) = self.budget.open(self.key) else { return };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            connection::serve(stream, shared, account).await;
            drop(permit);
        });
    }

    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.permits.available_permits() == 0 {
            // Requests that have arrived completely are read first, so that none of them is closed.
            yield_now().await;
        }
        loop {
            if self.permits.available_permits() == 0 {
                self.budget.reclaim(self.key);
            }
            // All requests may be being handled: then none can be closed until one is answered.
            let permit = self.permits.clone().acquire_owned();
            if let Ok(permit) = timeout(RECLAIM_INTERVAL, permit).await {
                return permit.ok();
            }
        }
    }
}

/// Closes a listener and returns the connections that were waiting to be accepted; their requests may
/// have arrived already.
fn pending(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else { return streams };
    while let Ok((stream, _)) = listener.accept() {
        let taken = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        streams.extend(taken);
    }
    streams
}
