//! Replicas whose disks are full for a while: they stay up, another one leads, and all go on once
//! there is room.

mod support;

use std::time::Duration;

use pond_job::Configuration;
use pond_replica::Handle;
use pond_store::Memory;
use tokio::time::{sleep, timeout};

use support::{BOUND, leader, listeners, start};

/// Longer than two elections: a replica that only waits for its disk would have lost the lead twice.
const FULL: Duration = Duration::from_secs(3);

/// Time between tries of an operator.
const AGAIN: Duration = Duration::from_millis(50);

/// Refuses everything that changes the disk.
fn fill(disk: &Memory) {
    disk.refuse(0..u64::MAX);
}

fn empty(disk: &Memory) {
    disk.refuse(0..0);
}

async fn fleet() -> (Vec<Memory>, Vec<Handle>) {
    let (listeners, seeds) = listeners().await;
    let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
    let started = seeds.iter().zip(listeners).zip(&disks);
    let handles =
        started.map(|((own, listener), disk)| start(*own, &seeds, listener, disk.clone()));
    (disks.clone(), handles.collect())
}

/// Sends a configuration to all replicas in turn until one has accepted it; which one.
async fn configure(handles: &[Handle], version: u64) -> usize {
    let accepted = async {
        loop {
            for (i, handle) in handles.iter().enumerate() {
                let order = Configuration { version, ..Configuration::default() };
                if handle.configure(order).await.is_ok() {
                    return i;
                }
            }
            sleep(AGAIN).await;
        }
    };
    timeout(BOUND, accepted).await.expect("accepted in time")
}

#[tokio::test]
async fn another_replica_leads_while_the_leaders_disk_is_full() {
    let (disks, handles) = fleet().await;
    let first = leader(&handles).await;
    configure(&handles, 1).await;
    fill(&disks[first]);
    // The leader may accept one more, with the disks of the other two.
    configure(&handles, 2).await;
    sleep(FULL).await;
    let next = configure(&handles, 3).await;
    assert_ne!(next, first);
    empty(&disks[first]);
    // The one that had no room is needed now, with all that it missed.
    let third = (0..handles.len()).find(|i| *i != first && *i != next).expect("a third");
    fill(&disks[third]);
    configure(&handles, 4).await;
}

#[tokio::test]
async fn replicas_whose_disks_are_all_full_accept_nothing_and_go_on_when_there_is_room() {
    let (disks, handles) = fleet().await;
    leader(&handles).await;
    configure(&handles, 1).await;
    disks.iter().for_each(fill);
    let order = Configuration { version: 2, ..Configuration::default() };
    for handle in &handles {
        let answer = timeout(FULL, handle.configure(order.clone())).await;
        assert!(!matches!(answer, Ok(Ok(()))), "accepted without room");
    }
    sleep(FULL).await;
    disks.iter().for_each(empty);
    configure(&handles, 3).await;
}
