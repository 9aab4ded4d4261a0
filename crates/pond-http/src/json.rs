//! JSON calls.

use std::time::Duration;

use http::{HeaderValue, Method, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Call, Client, Error, Reply};

/// Posts JSON and reads JSON.
///
/// # Errors
/// [`Error::Status`] for any status but 2xx and for a body that does not fit; others as the client
/// gives them.
pub async fn post_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    body: &impl Serialize,
    patience: Duration,
) -> Result<T, Error> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut call = Call::new(Method::POST, path, bytes);
    call.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    read(address, client.call(address, call, patience).await?)
}

/// Gets JSON.
///
/// # Errors
/// As [`post_json`].
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    patience: Duration,
) -> Result<T, Error> {
    let call = Call::new(Method::GET, path, "");
    read(address, client.call(address, call, patience).await?)
}

fn read<T: DeserializeOwned>(address: &str, reply: Reply) -> Result<T, Error> {
    let wrong = |reason: String| Error::Status {
        address: address.to_owned(),
        status: reply.status.as_u16(),
        reason,
    };
    if !reply.status.is_success() {
        return Err(wrong(String::from_utf8_lossy(&reply.body).into_owned()));
    }
    serde_json::from_slice(&reply.body).map_err(|error| wrong(error.to_string()))
}
