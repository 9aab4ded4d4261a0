//! What operators are told while the leader is gone: they are not sent to it, and wait for the next one
//! rather than being turned away.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_replica::{Handle, RequestError};
use pond_store::Memory;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use support::{BOUND, leader, listeners, start_task};

/// Followers hear the leader every 100 ms, so by then they know that something is wrong; elections begin
/// after 500 ms at the earliest.
const NOTICED: Duration = Duration::from_millis(350);

/// Operators ask elsewhere after a second without an answer.
const PATIENCE: Duration = Duration::from_secs(1);

async fn fleet() -> (Vec<SocketAddr>, Vec<(Handle, JoinHandle<()>)>) {
    let (listeners, seeds) = listeners().await;
    let started = seeds.iter().zip(listeners);
    let replicas =
        started.map(|(own, listener)| start_task(*own, &seeds, listener, Memory::new())).collect();
    (seeds, replicas)
}

#[tokio::test]
async fn operators_are_not_sent_to_a_leader_that_is_gone() {
    for _ in 0..3 {
        let (addresses, replicas) = fleet().await;
        let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
        let gone = leader(&handles).await;
        replicas[gone].1.abort();
        sleep(NOTICED).await;
        let others: Vec<usize> = (0..handles.len()).filter(|i| *i != gone).collect();
        for other in &others {
            let answer = timeout(PATIENCE, handles[*other].configuration())
                .await
                .expect("an answer in time");
            let named = RequestError::NotLeader(Some(addresses[gone].to_string()));
            assert_ne!(answer, Err(named));
        }
        let left: Vec<Handle> = others.iter().map(|i| handles[*i].clone()).collect();
        timeout(BOUND, leader(&left)).await.expect("another leader");
    }
}

#[tokio::test]
async fn operators_who_ask_during_an_election_are_sent_to_the_new_leader() {
    let mut sent_on = 0;
    for _ in 0..6 {
        let (addresses, replicas) = fleet().await;
        let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
        let gone = leader(&handles).await;
        replicas[gone].1.abort();
        sleep(NOTICED).await;
        let other = (0..handles.len()).find(|i| *i != gone).expect("another");
        let answer =
            timeout(PATIENCE, handles[other].configuration()).await.expect("an answer in time");
        match answer {
            Ok(_) => sent_on += 1,
            Err(RequestError::NotLeader(Some(named))) => {
                assert_ne!(named, addresses[gone].to_string());
                sent_on += 1;
            }
            Err(_) => {}
        }
    }
    // Elections end after 0.5 to 1 s, or later if votes are split.
    assert!(sent_on >= 3, "only {sent_on} of 6 were sent on");
}
