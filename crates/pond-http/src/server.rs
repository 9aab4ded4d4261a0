//! An HTTP server with limits that passes on complete requests only.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use crate::stall::Stream;
use crate::{Call, Reply};

/// How long idle connections stay open after a stop.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Longest time to receive the head of a request, and the same again for its body.
    pub read_timeout: Duration,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4096,
            read_timeout: Duration::from_secs(10),
            max_body_bytes: 1 << 20,
        }
    }
}

/// Why a request was refused before the handler saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The body is incomplete.
    CutOff,
}

impl Refused {
    /// Returns the HTTP status for the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Refused::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refused::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refused::CutOff => StatusCode::BAD_REQUEST,
        }
    }
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Answers a request that was refused before it was complete.
    fn refuse(&self, refused: Refused) -> Reply {
        Reply::new(refused.status(), format!("{refused:?}\n"))
    }
}

/// A signal for a graceful shutdown: the server accepts no more connections, completes the requests in
/// progress, and returns.
#[derive(Clone, Debug)]
pub struct Stop {
    flag: watch::Sender<bool>,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}

impl Stop {
    /// Creates a signal that is not set.
    pub fn new() -> Stop {
        Stop { flag: watch::Sender::new(false) }
    }

    /// Sets the signal.
    pub fn stop(&self) {
        self.flag.send_replace(true);
    }

    /// Returns whether the signal is set.
    pub fn stopped(&self) -> bool {
        *self.flag.borrow()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let mut receiver = self.flag.subscribe();
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

/// Serves until `stop` is set and every request that has arrived by then is answered. A caller that
/// reads nothing of its answer for some seconds is disconnected, so it does not hold up the shutdown.
pub async fn serve(listener: TcpListener, limits: Limits, stop: Stop, handler: Arc<dyn Handler>) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let closing = Arc::new(AtomicBool::new(false));
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = stop.wait() => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        spawn_connection(stream, permit, limits, &stop, &closing, &handler);
    }
    for stream in pending(listener) {
        let permit = permits.clone().acquire_owned().await;
        spawn_connection(stream, permit, limits, &stop, &closing, &handler);
    }
    closing.store(true, Ordering::Relaxed);
    // All permits are available once all connections have ended.
    let _ = permits.acquire_many(limits.max_connections as u32).await;
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

/// Serves a connection in a task of its own, which releases the permit when it ends.
fn spawn_connection(
    stream: TcpStream,
    permit: Result<OwnedSemaphorePermit, AcquireError>,
    limits: Limits,
    stop: &Stop,
    closing: &Arc<AtomicBool>,
    handler: &Arc<dyn Handler>,
) {
    let (stop, closing, handler) = (stop.clone(), closing.clone(), handler.clone());
    tokio::spawn(async move {
        serve_connection(stream, limits, stop, closing, handler).await;
        drop(permit);
    });
}

/// Serves a connection. Answers ask the caller to close it once `closing` is set, that is, once the
/// listener is closed: before that, callers would reconnect at once.
async fn serve_connection(
    stream: TcpStream,
    limits: Limits,
    stop: Stop,
    closing: Arc<AtomicBool>,
    handler: Arc<dyn Handler>,
) {
    let _ = stream.set_nodelay(true);
    // The address is not available if the peer has already disconnected.
    let peer = stream.peer_addr().ok();
    let service = service_fn(move |request| {
        let (handler, closing) = (handler.clone(), closing.clone());
        async move {
            let mut response = answer(request, peer, limits, handler.as_ref()).await;
            if closing.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .serve_connection(TokioIo::new(Stream::new(stream)), service);
    tokio::pin!(connection);
    // Idle connections are not closed at once, as a request may be in transit. During the shutdown,
    // each answer asks the caller to close its connection.
    let grace = async {
        stop.wait().await;
        tokio::time::sleep(IDLE_GRACE).await;
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        () = grace => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn answer(
    request: Request<Incoming>,
    peer: Option<SocketAddr>,
    limits: Limits,
    handler: &dyn Handler,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let reply = match read_body(body, limits).await {
        Ok(body) => {
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
            let call = Call { method: parts.method, path, headers: parts.headers, body, peer };
            handler.handle(call).await
        }
        Err(refused) => handler.refuse(refused),
    };
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, Refused> {
    let complete = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(limits.read_timeout, complete).await {
        Err(_) => Err(Refused::TooSlow),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refused::TooLarge),
        Ok(Err(_)) => Err(Refused::CutOff),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}
