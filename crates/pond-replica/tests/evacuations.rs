//! Evacuation orders across the loss of leaders and of power, and orders whose operator has disconnected.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_replica::{Evacuated, Evacuation, Handle, RequestError};
use pond_store::{Crash, Memory};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use support::{RECOVERY_TIMEOUT, leader, listeners, start_task};

/// Time within which an order would be carried out.
const EXECUTION_TIME: Duration = Duration::from_millis(300);

struct Replicas {
    seeds: Vec<SocketAddr>,
    disks: Vec<Memory>,
    running: Vec<(Handle, JoinHandle<()>)>,
}

impl Replicas {
    async fn new() -> Replicas {
        let (listeners, seeds) = listeners().await;
        let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
        let started = seeds.iter().zip(listeners).zip(&disks);
        let running = started
            .map(|((own, listener), disk)| start_task(*own, &seeds, listener, disk.clone()))
            .collect();
        Replicas { seeds, disks, running }
    }

    fn handles(&self) -> Vec<Handle> {
        self.running.iter().map(|(handle, _)| handle.clone()).collect()
    }

    /// Restarts the replicas from the contents of their disks.
    async fn restart(seeds: Vec<SocketAddr>, disks: Vec<Memory>) -> Replicas {
        let mut running = Vec::new();
        for (own, disk) in seeds.iter().zip(&disks) {
            let listener = listen(*own).await;
            running.push(start_task(*own, &seeds, listener, disk.clone()));
        }
        Replicas { seeds, disks, running }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Listens at an address that another replica has just released.
async fn listen(address: SocketAddr) -> TcpListener {
    let bound = async {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(RECOVERY_TIMEOUT, bound).await.expect("the address is free")
}

fn order(begins: bool) -> Evacuation {
    Evacuation { data_centre: "north".to_owned(), begins }
}

fn names(evacuated: Evacuated) -> Vec<String> {
    evacuated.into_iter().map(|(name, _)| name).collect()
}

/// Repeats an order until it is acknowledged, as operators do.
async fn send_until_acknowledged(handles: &[Handle], begins: bool) {
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
    timeout(RECOVERY_TIMEOUT, sent).await.expect("an acknowledgement in time");
}

async fn evacuated(handles: &[Handle]) -> Vec<String> {
    let leader_index = leader(handles).await;
    names(handles[leader_index].evacuated().await.expect("it leads"))
}

#[tokio::test]
async fn acknowledged_order_survives_the_loss_of_its_leader() {
    let mut replicas = Replicas::new().await;
    let handles = replicas.handles();
    send_until_acknowledged(&handles, true).await;
    let lost = leader(&handles).await;
    replicas.running.remove(lost).1.abort();
    assert_eq!(evacuated(&replicas.handles()).await, ["north"]);
    send_until_acknowledged(&replicas.handles(), false).await;
    assert!(evacuated(&replicas.handles()).await.is_empty());
}

#[test]
fn acknowledged_order_survives_a_power_loss_of_all_replicas() {
    let before = runtime();
    let (seeds, disks) = before.block_on(async {
        let replicas = Replicas::new().await;
        send_until_acknowledged(&replicas.handles(), true).await;
        (replicas.seeds, replicas.disks)
    });
    // Shutting down the runtime ends all replicas.
    before.shutdown_timeout(RECOVERY_TIMEOUT);
    for (seed, disk) in (7..).zip(&disks) {
        disk.crash(Crash::KeepRandom(seed));
    }
    runtime().block_on(async {
        let replicas = Replicas::restart(seeds, disks).await;
        assert_eq!(evacuated(&replicas.handles()).await, ["north"]);
    });
}

#[tokio::test]
async fn followers_redirect_operators_to_the_leader() {
    let replicas = Replicas::new().await;
    let handles = replicas.handles();
    let leader_index = leader(&handles).await;
    let other = (leader_index + 1) % handles.len();
    let named = Err(RequestError::NotLeader(Some(replicas.seeds[leader_index].to_string())));
    assert_eq!(handles[other].evacuate(order(true)).await, named);
    assert!(evacuated(&handles).await.is_empty());
}

#[tokio::test]
async fn order_whose_operator_has_disconnected_is_not_carried_out() {
    let replicas = Replicas::new().await;
    let handles = replicas.handles();
    // There is no leader yet, so the orders are deferred; their operators disconnect.
    for handle in &handles {
        let left = timeout(Duration::from_millis(1), handle.evacuate(order(true))).await;
        assert!(left.is_err(), "it was answered at once: {left:?}");
    }
    leader(&handles).await;
    sleep(EXECUTION_TIME).await;
    assert!(evacuated(&handles).await.is_empty());
}
