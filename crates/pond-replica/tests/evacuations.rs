//! Orders about data centres over the loss of leaders and of power, and from operators who have left.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_replica::{Evacuated, Evacuation, Handle, RequestError};
use pond_store::{Crash, Memory};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use support::{BOUND, leader, listeners, start_task};

/// An order that nobody waits for any more would be carried out within this time.
const CARRIED_OUT: Duration = Duration::from_millis(300);

struct Fleet {
    seeds: Vec<SocketAddr>,
    disks: Vec<Memory>,
    replicas: Vec<(Handle, JoinHandle<()>)>,
}

impl Fleet {
    async fn new() -> Fleet {
        let (listeners, seeds) = listeners().await;
        let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
        let started = seeds.iter().zip(listeners).zip(&disks);
        let replicas = started
            .map(|((own, listener), disk)| start_task(*own, &seeds, listener, disk.clone()))
            .collect();
        Fleet { seeds, disks, replicas }
    }

    fn handles(&self) -> Vec<Handle> {
        self.replicas.iter().map(|(handle, _)| handle.clone()).collect()
    }

    /// The same replicas, started again from what their disks keep.
    async fn again(seeds: Vec<SocketAddr>, disks: Vec<Memory>) -> Fleet {
        let mut replicas = Vec::new();
        for (own, disk) in seeds.iter().zip(&disks) {
            let listener = listen(*own).await;
            replicas.push(start_task(*own, &seeds, listener, disk.clone()));
        }
        Fleet { seeds, disks, replicas }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Listens at an address that a replica has just left.
async fn listen(address: SocketAddr) -> TcpListener {
    let bound = async {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(BOUND, bound).await.expect("the address is free")
}

fn order(begins: bool) -> Evacuation {
    Evacuation { data_centre: "north".to_owned(), begins }
}

fn names(evacuated: Evacuated) -> Vec<String> {
    evacuated.into_iter().map(|(name, _)| name).collect()
}

/// Sends an order until it is acknowledged, as operators do.
async fn acknowledged(handles: &[Handle], begins: bool) {
    let sent = async {
        loop {
            for handle in handles {
                if handle.evacuate(order(begins)).await.is_ok() {
                    return;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(BOUND, sent).await.expect("an acknowledgement in time");
}

async fn evacuated(handles: &[Handle]) -> Vec<String> {
    let leads = leader(handles).await;
    names(handles[leads].evacuated().await.expect("it leads"))
}

#[tokio::test]
async fn acknowledged_order_outlasts_its_leader() {
    let mut fleet = Fleet::new().await;
    let handles = fleet.handles();
    acknowledged(&handles, true).await;
    let gone = leader(&handles).await;
    fleet.replicas.remove(gone).1.abort();
    assert_eq!(evacuated(&fleet.handles()).await, ["north"]);
    acknowledged(&fleet.handles(), false).await;
    assert!(evacuated(&fleet.handles()).await.is_empty());
}

#[test]
fn acknowledged_order_outlasts_a_loss_of_all_power() {
    let before = runtime();
    let (seeds, disks) = before.block_on(async {
        let fleet = Fleet::new().await;
        acknowledged(&fleet.handles(), true).await;
        (fleet.seeds, fleet.disks)
    });
    // All replicas end with their runtime.
    before.shutdown_timeout(BOUND);
    for (seed, disk) in (7..).zip(&disks) {
        disk.crash(Crash::KeepRandom(seed));
    }
    runtime().block_on(async {
        let fleet = Fleet::again(seeds, disks).await;
        assert_eq!(evacuated(&fleet.handles()).await, ["north"]);
    });
}

#[tokio::test]
async fn replicas_that_do_not_lead_send_operators_on() {
    let fleet = Fleet::new().await;
    let handles = fleet.handles();
    let leads = leader(&handles).await;
    let other = (leads + 1) % handles.len();
    let named = Err(RequestError::NotLeader(Some(fleet.seeds[leads].to_string())));
    assert_eq!(handles[other].evacuate(order(true)).await, named);
    assert!(evacuated(&handles).await.is_empty());
}

#[tokio::test]
async fn order_whose_operator_has_left_is_not_carried_out() {
    let fleet = Fleet::new().await;
    let handles = fleet.handles();
    // Nobody leads yet, so the orders are held; their operators leave.
    for handle in &handles {
        let left = timeout(Duration::from_millis(1), handle.evacuate(order(true))).await;
        assert!(left.is_err(), "it was answered at once: {left:?}");
    }
    leader(&handles).await;
    sleep(CARRIED_OUT).await;
    assert!(evacuated(&handles).await.is_empty());
}
