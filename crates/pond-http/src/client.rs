//! An HTTP client that reuses connections and reports whether a request was sent.

use std::collections::BTreeMap;
use std::io;
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

/// Maximum number of idle connections for one address.
const MAX_IDLE: usize = 64;

/// Default for the largest answer, in bytes.
const DEFAULT_MAX_ANSWER_BYTES: usize = 8 << 20;

/// A client for plain HTTP/1.1 to addresses of the form `ip:port`.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<BTreeMap<String, Vec<Connection>>>>,
    max_answer_bytes: usize,
    connect_timeout: Duration,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Client {
        let connect_timeout = Duration::from_secs(2);
        Client { idle: Arc::default(), max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES, connect_timeout }
    }

    /// Sets the largest answer, in bytes.
    pub fn with_max_answer_bytes(mut self, bytes: usize) -> Client {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sends a request and waits for the complete answer, for at most `max_wait`.
    ///
    /// If an idle connection turns out to be closed, the request is sent again on a new one, but only
    /// if nothing of it was written.
    ///
    /// # Errors
    /// [`Error::NotSent`] if the request certainly did not run, [`Error::Broken`] if it may have run.
    pub async fn call(
        &self,
        address: &str,
        call: Call,
        max_wait: Duration,
    ) -> Result<Reply, Error> {
        let exchange = self.exchange(address, call);
        match timeout(max_wait, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.drop_idle(address);
                Err(broken(address, format!("no answer within {} ms", max_wait.as_millis())))
            }
        }
    }

    /// Drops the idle connections to an address. If one stopped answering without a reset, the others
    /// may have, too, and each would make a call wait for its full timeout.
    fn drop_idle(&self, address: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    async fn exchange(&self, address: &str, call: Call) -> Result<Reply, Error> {
        let mut request = request(address, call)?;
        loop {
            let reused = self.take_idle(address);
            let is_new = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.open(address).await?,
            };
            if connection.ready().await.is_err() {
                if is_new {
                    return Err(not_sent(address, "the connection was closed at once"));
                }
                continue;
            }
            match connection.try_send_request(request).await {
                Ok(response) => {
                    let reply = self.read(address, response).await?;
                    self.return_idle(address, connection);
                    return Ok(reply);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
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
        let collected = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = collected.map_err(|error| broken(address, error))?.to_bytes();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }

    async fn open(&self, address: &str) -> Result<Connection, Error> {
        let parsed: SocketAddr =
            address.parse().map_err(|_| not_sent(address, "invalid address, expected ip:port"))?;
        let connecting = timeout(self.connect_timeout, TcpStream::connect(parsed)).await;
        let stream = connecting
            .map_err(|_| not_sent(address, "connecting timed out"))?
            .map_err(|error| not_connected(address, &error))?;
        stream.set_nodelay(true).map_err(|error| not_sent(address, error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(address, error))?;
        tokio::spawn(async move {
            // An error ends the request in progress on this connection, which reports it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn return_idle(&self, address: &str, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE {
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
    Error::NotSent { address: address.to_owned(), reason: reason.to_string(), refused: false }
}

fn not_connected(address: &str, error: &io::Error) -> Error {
    let refused = error.kind() == io::ErrorKind::ConnectionRefused;
    Error::NotSent { address: address.to_owned(), reason: error.to_string(), refused }
}

fn broken(address: &str, reason: impl ToString) -> Error {
    Error::Broken { address: address.to_owned(), reason: reason.to_string() }
}
