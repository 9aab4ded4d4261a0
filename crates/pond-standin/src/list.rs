//! The platform's VM list, which lags.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pond_http::{Call, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use pond_platform::VmList;
use pond_proto::Vm;
use tokio::net::TcpListener;

/// The truth from one moment on.
#[derive(Clone, Debug)]
struct Version {
    since: Instant,
    vms: Vec<Vm>,
}

/// The list as it was some time ago. Clones share it.
#[derive(Clone, Debug)]
pub struct LaggingList {
    lag: Duration,
    versions: Arc<Mutex<Vec<Version>>>,
}

impl LaggingList {
    /// A list that holds these VMs from the start.
    pub fn new(lag: Duration, vms: Vec<Vm>) -> LaggingList {
        LaggingList {
            lag,
            versions: Arc::new(Mutex::new(vec![Version { since: Instant::now(), vms }])),
        }
    }

    /// Sets the truth; the list tells it after its lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push(Version { since: Instant::now(), vms });
    }

    /// Changes the truth about some VMs.
    pub fn change(&self, change: impl Fn(&mut Vm)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = versions.last().map(|version| version.vms.clone()).unwrap_or_default();
        vms.iter_mut().for_each(change);
        versions.push(Version { since: Instant::now(), vms });
    }

    /// What the list tells now.
    pub fn told(&self) -> Vec<Vm> {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while versions.len() > 1 && now.duration_since(versions[1].since) >= self.lag {
            versions.remove(0);
        }
        versions.first().map(|version| version.vms.clone()).unwrap_or_default()
    }
}

/// Serves the list over HTTP.
#[derive(Debug)]
pub struct ListServer {
    list: LaggingList,
}

impl ListServer {
    /// Serves a list until `stop`.
    pub async fn run(listener: TcpListener, list: LaggingList, stop: Stop) {
        serve(listener, Limits::default(), stop, Arc::new(ListServer { list })).await;
    }

    fn answer(&self, call: &Call) -> Reply {
        if call.method != Method::GET || call.path != "/v1/vms" {
            return Reply::new(StatusCode::NOT_FOUND, "only GET /v1/vms is here\n");
        }
        Reply::json(StatusCode::OK, &VmList { vms: self.list.told() })
    }
}

impl Handler for ListServer {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move { self.answer(&call) })
    }
}
