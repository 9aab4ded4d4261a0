//! The VM list of the simulated platform, which lags behind the actual state.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pond_http::{Call, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use pond_platform::VmList;
use pond_proto::Vm;
use tokio::net::TcpListener;

/// Actual state of the VMs from a point in time on.
#[derive(Clone, Debug)]
struct Version {
    since: Instant,
    vms: Vec<Vm>,
}

/// VM list that shows the actual state with a delay. Clones share the list.
#[derive(Clone, Debug)]
pub struct LaggingList {
    lag: Duration,
    versions: Arc<Mutex<Vec<Version>>>,
}

impl LaggingList {
    /// Creates a list that shows `vms` from the start and later changes after `lag`.
    pub fn new(lag: Duration, vms: Vec<Vm>) -> LaggingList {
        LaggingList {
            lag,
            versions: Arc::new(Mutex::new(vec![Version { since: Instant::now(), vms }])),
        }
    }

    /// Sets the actual state, which becomes visible after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push(Version { since: Instant::now(), vms });
    }

    /// Applies a change to the actual state of each VM, which becomes visible after the lag.
    pub fn change(&self, change: impl Fn(&mut Vm)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = versions.last().map(|version| version.vms.clone()).unwrap_or_default();
        vms.iter_mut().for_each(change);
        versions.push(Version { since: Instant::now(), vms });
    }

    /// Returns the state that is visible now.
    pub fn visible(&self) -> Vec<Vm> {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while versions.len() > 1 && now.duration_since(versions[1].since) >= self.lag {
            versions.remove(0);
        }
        versions.first().map(|version| version.vms.clone()).unwrap_or_default()
    }
}

/// HTTP server of the VM list.
#[derive(Debug)]
pub struct ListServer {
    list: LaggingList,
}

impl ListServer {
    /// Serves a list until `stop` is triggered.
    pub async fn run(listener: TcpListener, list: LaggingList, stop: Stop) {
        serve(listener, Limits::default(), stop, Arc::new(ListServer { list })).await;
    }

    fn answer(&self, call: &Call) -> Reply {
        if call.method != Method::GET || call.path != "/v1/vms" {
            return Reply::new(StatusCode::NOT_FOUND, "only GET /v1/vms is here\n");
        }
        Reply::json(StatusCode::OK, &VmList { vms: self.list.visible() })
    }
}

impl Handler for ListServer {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move { self.answer(&call) })
    }
}
