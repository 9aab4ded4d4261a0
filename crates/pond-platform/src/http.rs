//! The HTTP/JSON binding of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use pond_http::{Client, get_json, post_json};
use pond_proto::{TaskKey, Vm};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{
    Checkpoint, Lease, LeaseAnswer, Refusal, Start, StartAnswer, Stop, StopAnswer, TaskStatus,
    Throttle, Usage, VmList,
};
use crate::platform::{Error, Platform, Response};

/// Maximum time for the platform to answer a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP status of a refusal.
const REFUSAL_STATUS: u16 = 409;

/// Client of the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    list_address: String,
}

impl HttpPlatform {
    /// Creates a client for the platform whose VM list is served at `list_address`.
    pub fn new(list_address: SocketAddr) -> HttpPlatform {
        HttpPlatform { client: Client::new(), list_address: list_address.to_string() }
    }

    fn post<'a, T: DeserializeOwned + 'a>(
        &'a self,
        worker: &'a str,
        path: String,
        request: impl Serialize + Send + Sync + 'a,
    ) -> Response<'a, T> {
        Box::pin(async move {
            post_json(&self.client, worker, &path, &request, REQUEST_TIMEOUT)
                .await
                .map_err(convert_error)
        })
    }
}

fn convert_error(error: pond_http::Error) -> Error {
    match &error {
        pond_http::Error::NotSent { .. } => Error::NotSent(error.to_string()),
        pond_http::Error::Status { status: REFUSAL_STATUS, reason, .. } => {
            match serde_json::from_str::<Refusal>(reason) {
                Ok(refusal) => Error::Refused(refusal),
                Err(_) => Error::Unknown(error.to_string()),
            }
        }
        _ => Error::Unknown(error.to_string()),
    }
}

impl Platform for HttpPlatform {
    fn vms(&self) -> Response<'_, Vec<Vm>> {
        Box::pin(async move {
            let list =
                get_json::<VmList>(&self.client, &self.list_address, "/v1/vms", REQUEST_TIMEOUT)
                    .await;
            list.map(|list| list.vms).map_err(convert_error)
        })
    }

    fn lease<'a>(&'a self, worker: &'a str, request: Lease) -> Response<'a, LeaseAnswer> {
        self.post(worker, "/v1/lease".to_owned(), request)
    }

    fn start<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Start,
    ) -> Response<'a, StartAnswer> {
        self.post(worker, format!("/v1/tasks/{}/start", task.0), request)
    }

    fn checkpoint<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Checkpoint,
    ) -> Response<'a, TaskStatus> {
        self.post(worker, format!("/v1/tasks/{}/checkpoint", task.0), request)
    }

    fn throttle<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Throttle,
    ) -> Response<'a, TaskStatus> {
        self.post(worker, format!("/v1/tasks/{}/throttle", task.0), request)
    }

    fn stop<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        request: Stop,
    ) -> Response<'a, StopAnswer> {
        self.post(worker, format!("/v1/tasks/{}/stop", task.0), request)
    }

    fn usage<'a>(&'a self, worker: &'a str) -> Response<'a, Usage> {
        Box::pin(async move {
            get_json(&self.client, worker, "/v1/usage", REQUEST_TIMEOUT)
                .await
                .map_err(convert_error)
        })
    }
}
