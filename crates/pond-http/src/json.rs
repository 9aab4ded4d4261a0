//! Calls with JSON bodies.

use std::time::Duration;

use http::{HeaderValue, Method, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Call, Client, Error, Reply};

/// Sends a POST request with a JSON body and parses the JSON answer.
///
/// # Errors
/// [`Error::Status`] for a status other than 2xx and for a body that cannot be parsed; others as in
/// [`Client::call`].
pub async fn post_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    body: &impl Serialize,
    max_wait: Duration,
) -> Result<T, Error> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut call = Call::new(Method::POST, path, bytes);
    call.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    parse(address, client.call(address, call, max_wait).await?)
}

/// Sends a GET request and parses the JSON answer.
///
/// # Errors
/// As [`post_json`].
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    max_wait: Duration,
) -> Result<T, Error> {
    let call = Call::new(Method::GET, path, "");
    parse(address, client.call(address, call, max_wait).await?)
}

fn parse<T: DeserializeOwned>(address: &str, reply: Reply) -> Result<T, Error> {
    let invalid = |reason: String| Error::Status {
        address: address.to_owned(),
        status: reply.status.as_u16(),
        reason,
    };
    if !reply.status.is_success() {
        return Err(invalid(String::from_utf8_lossy(&reply.body).into_owned()));
    }
    serde_json::from_slice(&reply.body).map_err(|error| invalid(error.to_string()))
}
