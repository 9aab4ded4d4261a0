//! A client that keeps connections and knows whether a request was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Call, Error, Reply};

type Connection = SendRequest<Full<Bytes>>;

/// Idle connections kept for one address.
const IDLE_KEPT: usize = 64;

/// Largest answer, in bytes, unless set otherwise.
const ANSWER_BYTES: usize = 8 << 20;

/// A client for plain HTTP/1.1 to addresses of the form `ip:port`.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<BTreeMap<String, Vec<Connection>>>>,
    answer_bytes: usize,
    connect: Duration,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Client {
        let connect = Duration::from_secs(2);
        Client { idle: Arc::default(), answer_bytes: ANSWER_BYTES, connect }
    }

    /// Limits the size of answers, in bytes.
    pub fn with_max_answer_bytes(mut self, bytes: usize) -> Client {
        self.answer_bytes = bytes;
        self
    }

    /// Sends a request and waits for the whole answer, for at most `patience`.
    ///
    /// A request on a kept connection that turns out to be closed is sent again on a new one, but
    /// only while nothing of it was written.
    ///
    /// # Errors
    /// [`Error::NotSent`] if it surely did not run, [`Error::Broken`] if it may have.
    pub async fn call(
        &self,
        address: &str,
        call: Call,
        patience: Duration,
    ) -> Result<Reply, Error> {
        let exchange = self.exchange(address, call);
        match timeout(patience, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.forget(address);
                Err(broken(address, format!("nothing within {} ms", patience.as_millis())))
            }
        }
    }

    /// Drops the kept connections to an address. Where one fell silent, the others may have, too,
    /// and each would cost a call its whole patience.
    fn forget(&self, address: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    async fn exchange(&self, address: &str, call: Call) -> Result<Reply, Error> {
        let mut request = request(address, call)?;
        loop {
            let kept = self.take(address);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.open(address).await?,
            };
            if connection.ready().await.is_err() {
                if fresh {
                    return Err(not_sent(address, "the connection closed at once"));
                }
                continue;
            }
            match connection.try_send_request(request).await {
                Ok(response) => {
                    let reply = self.read(address, response).await?;
                    self.keep(address, connection);
                    return Ok(reply);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(not_sent(address, error.error())),
                    None => return Err(broken(address, error.error())),
                },
            }
        }
    }

    async fn read(
        &self,
        address: &str,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Reply, Error> {
        let (parts, body) = response.into_parts();
        let whole = Limited::new(body, self.answer_bytes).collect().await;
        let body = whole.map_err(|error| broken(address, error))?.to_bytes();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }

    async fn open(&self, address: &str) -> Result<Connection, Error> {
        let parsed: SocketAddr =
            address.parse().map_err(|_| not_sent(address, "this is no ip:port"))?;
        let connecting = timeout(self.connect, TcpStream::connect(parsed)).await;
        let stream = connecting
            .map_err(|_| not_sent(address, "no connection in time"))?
            .map_err(|error| not_sent(address, error))?;
        stream.set_nodelay(true).map_err(|error| not_sent(address, error))?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| not_sent(address, error))?;
        tokio::spawn(async move {
            // An error here ends the request that was under way, which reports it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: &str, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < IDLE_KEPT {
            connections.push(connection);
        }
    }
}

fn request(address: &str, call: Call) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().map_err(|error| not_sent(address, error))?;
    *request.headers_mut() = call.headers;
    let host = HeaderValue::from_str(address).map_err(|error| not_sent(address, error))?;
    request.headers_mut().insert(header::HOST, host);
    Ok(request)
}

fn not_sent(address: &str, reason: impl ToString) -> Error {
    Error::NotSent { address: address.to_owned(), reason: reason.to_string() }
}

fn broken(address: &str, reason: impl ToString) -> Error {
    Error::Broken { address: address.to_owned(), reason: reason.to_string() }
}
