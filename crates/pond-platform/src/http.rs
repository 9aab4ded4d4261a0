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
use crate::platform::{Answer, Error, Platform};

/// How long a worker may take to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// The status of a refusal.
const REFUSED: u16 = 409;

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    list: String,
}

impl HttpPlatform {
    /// A platform whose VM list is at an address.
    pub fn new(list: SocketAddr) -> HttpPlatform {
        HttpPlatform { client: Client::new(), list: list.to_string() }
    }

    fn order<'a, T: DeserializeOwned + 'a>(
        &'a self,
        worker: &'a str,
        path: String,
        order: impl Serialize + Send + Sync + 'a,
    ) -> Answer<'a, T> {
        Box::pin(async move {
            post_json(&self.client, worker, &path, &order, PATIENCE).await.map_err(read_error)
        })
    }
}

fn read_error(error: pond_http::Error) -> Error {
    match &error {
        pond_http::Error::NotSent { .. } => Error::NotSent(error.to_string()),
        pond_http::Error::Status { status: REFUSED, what, .. } => {
            match serde_json::from_str::<Refusal>(what) {
                Ok(refusal) => Error::Refused(refusal),
                Err(_) => Error::Unknown(error.to_string()),
            }
        }
        _ => Error::Unknown(error.to_string()),
    }
}

impl Platform for HttpPlatform {
    fn vms(&self) -> Answer<'_, Vec<Vm>> {
        Box::pin(async move {
            let list = get_json::<VmList>(&self.client, &self.list, "/v1/vms", PATIENCE).await;
            list.map(|list| list.vms).map_err(read_error)
        })
    }

    fn lease<'a>(&'a self, worker: &'a str, order: Lease) -> Answer<'a, LeaseAnswer> {
        self.order(worker, "/v1/lease".to_owned(), order)
    }

    fn start<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        order: Start,
    ) -> Answer<'a, StartAnswer> {
        self.order(worker, format!("/v1/tasks/{}/start", task.0), order)
    }

    fn checkpoint<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        order: Checkpoint,
    ) -> Answer<'a, TaskStatus> {
        self.order(worker, format!("/v1/tasks/{}/checkpoint", task.0), order)
    }

    fn throttle<'a>(
        &'a self,
        worker: &'a str,
        task: TaskKey,
        order: Throttle,
    ) -> Answer<'a, TaskStatus> {
        self.order(worker, format!("/v1/tasks/{}/throttle", task.0), order)
    }

    fn stop<'a>(&'a self, worker: &'a str, task: TaskKey, order: Stop) -> Answer<'a, StopAnswer> {
        self.order(worker, format!("/v1/tasks/{}/stop", task.0), order)
    }

    fn usage<'a>(&'a self, worker: &'a str) -> Answer<'a, Usage> {
        Box::pin(async move {
            get_json(&self.client, worker, "/v1/usage", PATIENCE).await.map_err(read_error)
        })
    }
}
