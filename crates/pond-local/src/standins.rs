//! Stand-ins for the platform, on a thread of their own.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use pond_http::{Stop, serve};
use pond_process::{Error, Threads, listen};
use pond_proto::Vm;
use pond_standin::{Host, LaggingList, ListServer, Record, WorkerServer};

use crate::plan::Plan;
use crate::record::RecordServer;

/// The running stand-ins.
pub struct Standins {
    /// The platform's VM list.
    pub list: LaggingList,
    /// The workers by VM name.
    pub hosts: BTreeMap<String, Host>,
    /// Record of what endpoints ran.
    pub record: Record,
    /// Address that serves the record.
    pub record_address: std::net::SocketAddr,
    stop: Stop,
    threads: Threads,
}

impl Standins {
    /// Starts the servers of the list, the workers and the record.
    ///
    /// # Errors
    /// [`Error`] if an address is in use or a thread cannot be started.
    pub fn start(plan: &Plan, list_lag_ms: u64, usage_lag_ms: u64) -> Result<Standins, Error> {
        let stop = Stop::new();
        let record = Record::new();
        let list = LaggingList::new(Duration::from_millis(list_lag_ms), plan.vms.clone());
        let mut hosts = BTreeMap::new();
        let mut listeners = Vec::new();
        for vm in &plan.vms {
            let host = Host::new(vm.size, usage_lag_ms, record.clone());
            listeners.push((listen_worker(vm)?, host.clone()));
            hosts.insert(vm.name.clone(), host);
        }
        let list_listener = listen(plan.list_address)?;
        let record_listener = listen((plan.list_address.ip(), 0).into())?;
        let record_address = record_listener.local_addr().unwrap_or(plan.list_address);
        let mut threads = Threads::new();
        let (thread_list, thread_stop, thread_record) =
            (list.clone(), stop.clone(), record.clone());
        threads.spawn("stand-ins", move || async move {
            run(listeners, list_listener, thread_list, record_listener, thread_record, thread_stop)
                .await;
        })?;
        Ok(Standins { list, hosts, record, record_address, stop, threads })
    }

    /// Stops all stand-ins.
    pub fn stop(self) {
        self.stop.stop();
        self.threads.abort();
    }
}

fn listen_worker(vm: &Vm) -> Result<TcpListener, Error> {
    listen(vm.worker.parse().unwrap_or(([127, 0, 0, 1], 0).into()))
}

async fn run(
    workers: Vec<(TcpListener, Host)>,
    list_listener: TcpListener,
    list: LaggingList,
    record_listener: TcpListener,
    record: Record,
    stop: Stop,
) {
    let from_std = tokio::net::TcpListener::from_std;
    for (listener, host) in workers {
        let Ok(listener) = from_std(listener) else { return };
        tokio::spawn(WorkerServer::run(listener, host, stop.clone()));
    }
    if let Ok(listener) = from_std(record_listener) {
        let server = Arc::new(RecordServer::new(record));
        tokio::spawn(serve(listener, pond_http::Limits::default(), stop.clone(), server));
    }
    if let Ok(listener) = from_std(list_listener) {
        tokio::spawn(ListServer::run(listener, list, stop.clone()));
    }
    stop.wait().await;
}
