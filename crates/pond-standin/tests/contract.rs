//! Conformance of the simulated platform with the protocols of the platform.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use pond_http::Stop;
use pond_platform::{HttpPlatform, Platform, contract};
use pond_proto::{Presence, Size, Vm};
use pond_standin::{Endpoint, Host, LaggingList, ListServer, Record, WorkerServer};
use tokio::net::TcpListener;

async fn worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address").to_string();
    let host = Host::new(Size::new(4000, 4000, 0), 0, Record::new());
    tokio::spawn(WorkerServer::run(listener, host, Stop::new()));
    address
}

#[tokio::test]
async fn worker_follows_every_rule() {
    let worker = worker().await;
    let platform = HttpPlatform::new(([127, 0, 0, 1], 1).into());
    let results = contract::check(&platform, &worker, 1000).await;
    let failed: Vec<_> = results.iter().filter(|result| result.failure.is_some()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert_eq!(results.len(), 14);
}

#[tokio::test]
async fn endpoint_follows_every_rule() {
    let (slowdown, stop) = (Arc::new(AtomicU64::new(100)), Stop::new());
    let started = Endpoint::start(8, 64, 300, slowdown, Record::new(), stop);
    let address = started.await.expect("starts").to_string();
    let results = contract::check_endpoint(&address).await;
    let failed: Vec<_> = results.iter().filter(|result| result.failure.is_some()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert_eq!(results.len(), 5);
}

#[tokio::test]
async fn vm_list_is_served_as_specified() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let vm = Vm {
        name: "a".to_owned(),
        labels: Default::default(),
        size: Size::new(1000, 1000, 0),
        worker: "127.0.0.1:5".to_owned(),
        endpoint_process: None,
        presence: Presence::Live,
    };
    let list = LaggingList::new(Duration::ZERO, vec![vm.clone()]);
    tokio::spawn(ListServer::run(listener, list.clone(), Stop::new()));
    let platform = HttpPlatform::new(address);
    assert_eq!(platform.vms().await.expect("a list"), [vm]);
    list.change(|vm| vm.presence = Presence::Leaving);
    assert_eq!(platform.vms().await.expect("a list")[0].presence, Presence::Leaving);
}

#[tokio::test]
async fn unreachable_worker_is_distinguished_from_an_unknown_outcome() {
    let platform = HttpPlatform::new(([127, 0, 0, 1], 1).into());
    let result = platform.usage("127.0.0.1:1").await;
    assert!(matches!(result, Err(pond_platform::Error::NotSent(_))), "{result:?}");
}
