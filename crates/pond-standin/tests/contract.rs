//! The stand-ins keep the contracts of the platform.

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
async fn the_worker_keeps_every_rule() {
    let worker = worker().await;
    let platform = HttpPlatform::new(([127, 0, 0, 1], 1).into());
    let verdicts = contract::check(&platform, &worker, 1000).await;
    let broken: Vec<_> = verdicts.iter().filter(|verdict| verdict.wrong.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(verdicts.len(), 14);
}

#[tokio::test]
async fn the_endpoint_keeps_every_rule() {
    let (slowdown, stop) = (Arc::new(AtomicU64::new(100)), Stop::new());
    let started = Endpoint::start(8, 64, 300, slowdown, Record::new(), stop);
    let address = started.await.expect("starts").to_string();
    let verdicts = contract::check_endpoint(&address).await;
    let broken: Vec<_> = verdicts.iter().filter(|verdict| verdict.wrong.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(verdicts.len(), 5);
}

#[tokio::test]
async fn the_list_is_told_as_it_is_written_in_the_contract() {
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
async fn a_worker_that_is_not_there_is_told_apart_from_one_that_may_have_acted() {
    let platform = HttpPlatform::new(([127, 0, 0, 1], 1).into());
    let result = platform.usage("127.0.0.1:1").await;
    assert!(matches!(result, Err(pond_platform::Error::NotSent(_))), "{result:?}");
}
