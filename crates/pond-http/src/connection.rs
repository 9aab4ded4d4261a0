//! Serves the requests of a connection.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::budget::Account;
use crate::stall::Stream;
use crate::{Call, Handler, Limits, Reply, Stop, body};

/// How long idle connections stay open after a stop.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// How long the rest of a refused request is read and discarded. A connection that is closed with unread bytes is
/// reset, and the refusal may be lost with it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// What the connections of a server have in common.
#[derive(Clone)]
pub(crate) struct Shared {
    pub limits: Limits,
    pub stop: Stop,
    /// Whether answers ask callers to close their connection: the listener is closed. Before that, callers would
    /// reconnect at once.
    pub closing: Arc<AtomicBool>,
    pub handler: Arc<dyn Handler>,
}

type Connection = http1::Connection<TokioIo<Stream>, Exchange>;

/// Serves a connection until it is closed by the caller or after a refusal, or has to make room.
pub(crate) async fn serve(stream: TcpStream, shared: Shared, account: Account) {
    let _ = stream.set_nodelay(true);
    let (account, stop, limits) = (Arc::new(account), shared.stop.clone(), shared.limits);
    let refused = Arc::new(AtomicBool::new(false));
    let exchange = Exchange {
        // The address is not available if the peer has already disconnected.
        peer: stream.peer_addr().ok(),
        shared,
        account: account.clone(),
        refused: refused.clone(),
    };
    let stream = Stream::new(stream, account.clone(), limits.max_head_bytes);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), exchange);
    let served = tokio::select! {
        served = serve_requests(&mut connection, &stop) => served,
        () = account.reclaimed() => {
            // A request whose body is incomplete is refused.
            poll_fn(|context| poll_once(&mut connection, context)).await;
            return;
        }
    };
    let mut stream = connection.into_parts().io.into_inner();
    // The caller may have disconnected.
    let _ = stream.shutdown().await;
    let invalid = served.is_err_and(|error| error.is_parse());
    if invalid || refused.load(Ordering::Relaxed) {
        account.discarding();
        tokio::select! {
            _ = timeout(DISCARD_TIMEOUT, discard(&mut stream)) => {}
            () = account.reclaimed() => {}
        }
    }
}

fn poll_once(connection: &mut Connection, context: &mut Context<'_>) -> Poll<()> {
    // The connection is closed whatever the result.
    let _ = connection.poll_without_shutdown(context);
    Poll::Ready(())
}

/// Serves requests until the connection is to be closed. Idle connections are not closed at once by a stop, as a
/// request may be in transit. During the shutdown, each answer asks the caller to close its connection.
async fn serve_requests(connection: &mut Connection, stop: &Stop) -> hyper::Result<()> {
    let grace = async {
        stop.wait().await;
        tokio::time::sleep(IDLE_GRACE).await;
    };
    tokio::select! {
        served = poll_fn(|context| connection.poll_without_shutdown(context)) => return served,
        () = grace => {}
    }
    Pin::new(&mut *connection).graceful_shutdown();
    poll_fn(|context| connection.poll_without_shutdown(context)).await
}

/// Reads until the caller closes the connection.
async fn discard(stream: &mut Stream) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
}

/// Answers the requests of a connection.
struct Exchange {
    peer: Option<SocketAddr>,
    shared: Shared,
    account: Arc<Account>,
    /// Whether a request was refused before it was complete.
    refused: Arc<AtomicBool>,
}

impl Service<Request<Incoming>> for Exchange {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let (peer, shared) = (self.peer, self.shared.clone());
        let (account, refused) = (self.account.clone(), self.refused.clone());
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let received = body::receive(body, shared.limits, &account).await;
            let mut close = shared.closing.load(Ordering::Relaxed);
            let reply = match received {
                Ok(body) => {
                    account.handling();
                    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
                    let path = path.to_owned();
                    let headers = parts.headers;
                    let reply = shared
                        .handler
                        .handle(Call { method: parts.method, path, headers, body, peer })
                        .await;
                    close |= shared.closing.load(Ordering::Relaxed);
                    reply
                }
                Err(reason) => {
                    refused.store(true, Ordering::Relaxed);
                    close = true;
                    shared.handler.refuse(reason)
                }
            };
            account.answering(reply.body.len());
            Ok(response(reply, close))
        })
    }
}

fn response(reply: Reply, close: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    if close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
