//! Replicas whose disks are full for a while. They keep running, another replica leads, and all of them
//! continue once there is space.

mod support;

use std::time::Duration;

use pond_job::Configuration;
use pond_replica::Handle;
use pond_store::Memory;
use tokio::time::{sleep, timeout};

use support::{RECOVERY_TIMEOUT, leader, listeners, start};

/// Time for which disks are full. Longer than two elections, so a leader that only waited for its disk
/// would have been replaced twice.
const DISK_FULL_TIME: Duration = Duration::from_secs(3);

/// Time between an operator's attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Makes every modification of the disk fail, as if it were full.
fn fill(disk: &Memory) {
    disk.fail_as_full(0..u64::MAX);
}

fn free(disk: &Memory) {
    disk.fail_as_full(0..0);
}

async fn start_replicas() -> (Vec<Memory>, Vec<Handle>) {
    let (listeners, seeds) = listeners().await;
    let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
    let started = seeds.iter().zip(listeners).zip(&disks);
    let handles =
        started.map(|((own, listener), disk)| start(*own, &seeds, listener, disk.clone()));
    (disks.clone(), handles.collect())
}

/// Sends a configuration to all replicas in turn until one accepts it. Returns the index of that replica.
async fn configure(handles: &[Handle], version: u64) -> usize {
    let accepted = async {
        loop {
            for (i, handle) in handles.iter().enumerate() {
                let order = Configuration { version, ..Configuration::default() };
                if handle.configure(order).await.is_ok() {
                    return i;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, accepted).await.expect("accepted in time")
}

#[tokio::test]
async fn another_replica_leads_while_the_leaders_disk_is_full() {
    let (disks, handles) = start_replicas().await;
    let first = leader(&handles).await;
    configure(&handles, 1).await;
    fill(&disks[first]);
    // The leader may still get this one accepted, with the disks of the other two.
    configure(&handles, 2).await;
    sleep(DISK_FULL_TIME).await;
    let next = configure(&handles, 3).await;
    assert_ne!(next, first);
    free(&disks[first]);
    // The first replica is needed for a majority now, and must catch up on what it missed.
    let third = (0..handles.len()).find(|i| *i != first && *i != next).expect("a third");
    fill(&disks[third]);
    configure(&handles, 4).await;
}

#[tokio::test]
async fn replicas_with_full_disks_accept_nothing_and_recover_when_there_is_space() {
    let (disks, handles) = start_replicas().await;
    leader(&handles).await;
    configure(&handles, 1).await;
    disks.iter().for_each(fill);
    let order = Configuration { version: 2, ..Configuration::default() };
    for handle in &handles {
        let answer = timeout(DISK_FULL_TIME, handle.configure(order.clone())).await;
        assert!(!matches!(answer, Ok(Ok(()))), "accepted without disk space");
    }
    sleep(DISK_FULL_TIME).await;
    disks.iter().for_each(free);
    configure(&handles, 3).await;
}
