//! Asks control replicas over HTTP.

use std::time::{Duration, Instant};

use pond_http::{Call as HttpCall, Client as HttpClient, HeaderValue, Method, Reply, StatusCode};
use pond_proto::operator::Origin;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::runtime::{Builder, Runtime};

use crate::{Call, Error};

/// Where control is looked for if nothing says otherwise.
const DEFAULT_CONTROL: &str = "127.0.0.1:7400";

/// How long one replica may take to answer.
const PATIENCE: Duration = Duration::from_secs(12);

/// How long a leader is looked for.
const SEARCH: Duration = Duration::from_secs(10);

/// Wait between rounds of the search.
const PAUSE: Duration = Duration::from_millis(100);

/// A client of the operators' API. It finds the leader and resends an order whose answer was lost
/// under the same identity.
#[derive(Debug)]
pub struct Client {
    runtime: Runtime,
    http: HttpClient,
    addresses: Vec<String>,
    token: Option<String>,
}

/// The body of an error.
#[derive(Deserialize)]
struct Problem {
    #[serde(default)]
    error_code: Option<String>,
    message: String,
}

impl Client {
    /// A client for these operator addresses.
    ///
    /// # Errors
    /// If the system gives no runtime.
    pub fn new(addresses: Vec<String>, token: Option<String>) -> Result<Client, Error> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| pond_process::Error::Thread { source })?;
        Ok(Client { runtime, http: HttpClient::new(), addresses, token })
    }

    /// A client as the flags and the environment say.
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

    /// Gets something.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::NoControl`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.ask(Method::GET, path, Vec::new())
    }

    /// Gives an order.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::NoControl`].
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Error> {
        self.ask(Method::POST, path, serde_json::to_vec(body).unwrap_or_default())
    }

    fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let reply = self.runtime.block_on(self.search(&method, path, &body))?;
        if !reply.status.is_success() {
            return Err(refused(&reply));
        }
        serde_json::from_slice(&reply.body)
            .map_err(|error| Error::NoControl { what: format!("the answer was no JSON: {error}") })
    }

    /// Asks replica after replica until one that leads answers.
    async fn search(&self, method: &Method, path: &str, body: &[u8]) -> Result<Reply, Error> {
        let begun = Instant::now();
        let mut last = String::from("no address");
        loop {
            for address in &self.addresses {
                let mut hint: Option<String> = None;
                match self.once(address, method, path, body).await {
                    Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = String::from_utf8_lossy(&reply.body).into_owned();
                        hint = reply.header("pondbay-leader").map(str::to_owned);
                    }
                    Ok(reply) => return Ok(reply),
                    Err(error) => last = error.to_string(),
                }
                if let Some(leader) = &hint
                    && let Ok(reply) = self.once(leader, method, path, body).await
                    && reply.status != StatusCode::SERVICE_UNAVAILABLE
                {
                    return Ok(reply);
                }
            }
            if begun.elapsed() >= SEARCH {
                return Err(Error::NoControl { what: last });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn once(
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
        self.http.call(address, call, PATIENCE).await
    }
}

fn refused(reply: &Reply) -> Error {
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

/// Who orders, under which identity, based on what.
///
/// # Errors
/// If the flags are wrong.
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
