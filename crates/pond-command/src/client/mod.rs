//! HTTP client of the control replicas.

use std::time::{Duration, Instant};

use pond_http::{Call as HttpCall, Client as HttpClient, HeaderValue, Method, Reply, StatusCode};
use pond_proto::operator::Origin;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::runtime::{Builder, Runtime};

use crate::{Call, Error};

/// Default operator address of control.
const DEFAULT_CONTROL: &str = "127.0.0.1:7400";

/// Timeout of a request to one replica.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum time to search for a leader.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between rounds of the search.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// A client of the operators' API. It finds the leader, and resends an order whose answer was lost
/// with the same request identity.
#[derive(Debug)]
pub struct Client {
    runtime: Runtime,
    http: HttpClient,
    addresses: Vec<String>,
    token: Option<String>,
}

/// Body of an error reply.
#[derive(Deserialize)]
struct Problem {
    #[serde(default)]
    error_code: Option<String>,
    message: String,
}

impl Client {
    /// Creates a client for the given operator addresses.
    ///
    /// # Errors
    /// [`Error::Process`] if the runtime cannot be created.
    pub fn new(addresses: Vec<String>, token: Option<String>) -> Result<Client, Error> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| pond_process::Error::Thread { source })?;
        Ok(Client { runtime, http: HttpClient::new(), addresses, token })
    }

    /// Creates a client from the flags and the environment.
    ///
    /// # Errors
    /// As [`Client::new`].
    pub fn from_call(call: &Call) -> Result<Client, Error> {
        let environment = std::env::var("PONDBAY_CONTROL").ok();
        let text = call.value("control").map(str::to_owned).or(environment);
        let text = text.unwrap_or_else(|| DEFAULT_CONTROL.to_owned());
        let addresses = text.split(',').map(|address| address.trim().to_owned()).collect();
        let environment = std::env::var("PONDBAY_TOKEN").ok();
        Client::new(addresses, call.value("token").map(str::to_owned).or(environment))
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::ControlUnreachable`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.request(Method::GET, path, Vec::new())
    }

    /// Sends an order as a `POST` request.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::ControlUnreachable`].
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Error> {
        self.request(Method::POST, path, serde_json::to_vec(body).unwrap_or_default())
    }

    fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let reply = self.runtime.block_on(self.send_to_leader(&method, path, &body))?;
        if !reply.status.is_success() {
            return Err(refusal(&reply));
        }
        serde_json::from_slice(&reply.body).map_err(|error| Error::ControlUnreachable {
            reason: format!("the answer is not valid JSON: {error}"),
        })
    }

    /// Sends the request to one replica after another until the leader answers.
    async fn send_to_leader(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, Error> {
        let started = Instant::now();
        let mut last = String::from("no address given");
        loop {
            for address in &self.addresses {
                let mut hint: Option<String> = None;
                match self.send(address, method, path, body).await {
                    Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = String::from_utf8_lossy(&reply.body).into_owned();
                        hint = reply.header("pondbay-leader").map(str::to_owned);
                    }
                    Ok(reply) => return Ok(reply),
                    Err(error) => last = error.to_string(),
                }
                if let Some(leader) = &hint
                    && let Ok(reply) = self.send(leader, method, path, body).await
                    && reply.status != StatusCode::SERVICE_UNAVAILABLE
                {
                    return Ok(reply);
                }
            }
            if started.elapsed() >= SEARCH_TIMEOUT {
                return Err(Error::ControlUnreachable { reason: last });
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    async fn send(
        &self,
        address: &str,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, pond_http::Error> {
        let mut call = HttpCall::new(method.clone(), path, body.to_vec());
        let json = HeaderValue::from_static("application/json");
        call.headers.insert("content-type", json);
        let token = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if let Some(Ok(value)) = token.map(|token| HeaderValue::from_str(&token)) {
            call.headers.insert("authorization", value);
        }
        self.http.call(address, call, REQUEST_TIMEOUT).await
    }
}

fn refusal(reply: &Reply) -> Error {
    let status = reply.status.as_u16();
    match serde_json::from_slice::<Problem>(&reply.body) {
        Ok(problem) => Error::Refused {
            status,
            code: problem.error_code.unwrap_or_else(|| status.to_string()),
            message: problem.message,
        },
        Err(_) => Error::Refused {
            status,
            code: status.to_string(),
            message: String::from_utf8_lossy(&reply.body).into_owned(),
        },
    }
}

/// Returns the origin of an order from the flags: its sender, its request identity, and the
/// version it is based on.
///
/// # Errors
/// [`Error::Usage`] if the flags are invalid.
pub fn origin(call: &Call) -> Result<Origin, Error> {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    let who = call.value("who").map(str::to_owned).or_else(user);
    let request = call.value("request").map(str::to_owned);
    Ok(Origin {
        who: who.unwrap_or_else(|| "operator".to_owned()),
        request: request.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
        expect: call.number("expect")?,
    })
}
