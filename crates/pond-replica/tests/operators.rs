//! Answers to operators after the loss of the leader: they are not redirected to the lost leader, and
//! their requests wait for the next leader instead of failing.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_job::Configuration;
use pond_replica::{Handle, RequestError};
use pond_store::Memory;
use tokio::task::{JoinHandle, JoinSet, yield_now};
use tokio::time::{sleep, timeout};

use support::{RECOVERY_TIMEOUT, leader, listeners, start_task};

/// Time after which followers have noticed the silence of the leader, which sends heartbeats every 100 ms.
/// Elections begin after 500 ms at the earliest.
const SILENCE_NOTICED: Duration = Duration::from_millis(350);

/// Time without an answer after which operators try another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

async fn start_replicas() -> (Vec<SocketAddr>, Vec<(Handle, JoinHandle<()>)>) {
    let (listeners, seeds) = listeners().await;
    let started = seeds.iter().zip(listeners);
    let replicas =
        started.map(|(own, listener)| start_task(*own, &seeds, listener, Memory::new())).collect();
    (seeds, replicas)
}

#[tokio::test]
async fn operators_are_not_redirected_to_a_lost_leader() {
    for _ in 0..3 {
        let (addresses, replicas) = start_replicas().await;
        let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
        let lost = leader(&handles).await;
        replicas[lost].1.abort();
        sleep(SILENCE_NOTICED).await;
        let others: Vec<usize> = (0..handles.len()).filter(|i| *i != lost).collect();
        for other in &others {
            let answer = timeout(OPERATOR_TIMEOUT, handles[*other].configuration())
                .await
                .expect("an answer in time");
            let named = RequestError::NotLeader(Some(addresses[lost].to_string()));
            assert_ne!(answer, Err(named));
        }
        let left: Vec<Handle> = others.iter().map(|i| handles[*i].clone()).collect();
        timeout(RECOVERY_TIMEOUT, leader(&left)).await.expect("another leader");
    }
}

#[tokio::test]
async fn operators_are_redirected_to_the_new_leader_after_an_election() {
    let mut redirected = 0;
    for _ in 0..6 {
        let (addresses, replicas) = start_replicas().await;
        let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
        let lost = leader(&handles).await;
        replicas[lost].1.abort();
        sleep(SILENCE_NOTICED).await;
        let other = (0..handles.len()).find(|i| *i != lost).expect("another");
        let answer = timeout(OPERATOR_TIMEOUT, handles[other].configuration())
            .await
            .expect("an answer in time");
        match answer {
            Ok(_) => redirected += 1,
            Err(RequestError::NotLeader(Some(named))) => {
                assert_ne!(named, addresses[lost].to_string());
                redirected += 1;
            }
            Err(_) => {}
        }
    }
    // Elections take 0.5 to 1 s, or longer if votes are split.
    assert!(redirected >= 3, "only {redirected} of 6 were redirected");
}

/// Time after which an operator gives up a request and sends another.
const IMPATIENCE: Duration = Duration::from_millis(1);

/// Number of operators who read from each replica at the same time.
const READERS: usize = 4;

/// Reads the configuration again and again until a leader answers.
async fn read_impatiently(handle: Handle) -> Option<String> {
    loop {
        match timeout(IMPATIENCE, handle.configuration()).await {
            Ok(Ok(read)) => return read,
            Ok(Err(_)) => yield_now().await,
            Err(_) => {}
        }
    }
}

/// Guards against a new leader that answers before it has applied what its predecessor acknowledged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_read_what_was_acknowledged_as_soon_as_another_replica_leads() {
    for version in 1..=5 {
        let (_, replicas) = start_replicas().await;
        let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
        let lost = leader(&handles).await;
        let source = "acknowledged".to_owned();
        let order = Configuration { version, source, ..Configuration::default() };
        handles[lost].configure(order).await.expect("acknowledged");
        replicas[lost].1.abort();
        let mut readers = JoinSet::new();
        for handle in (0..handles.len()).filter(|i| *i != lost).map(|i| &handles[i]) {
            for _ in 0..READERS {
                readers.spawn(read_impatiently(handle.clone()));
            }
        }
        for _ in 0..READERS {
            let read = timeout(RECOVERY_TIMEOUT, readers.join_next()).await.expect("in time");
            let read = read.expect("a reader").expect("an answer");
            assert_eq!(read.as_deref(), Some("acknowledged"), "round {version}");
        }
    }
}

/// Guards against requests that wait for good, or without a limit to their number, while there can be no leader.
#[tokio::test]
async fn operators_are_answered_in_time_while_there_can_be_no_leader() {
    let (_, replicas) = start_replicas().await;
    let handles: Vec<Handle> = replicas.iter().map(|(handle, _)| handle.clone()).collect();
    let lost = leader(&handles).await;
    let left = (lost + 1) % handles.len();
    (0..handles.len()).filter(|i| *i != left).for_each(|i| replicas[i].1.abort());
    sleep(SILENCE_NOTICED).await;
    let mut readers = JoinSet::new();
    for _ in 0..200 {
        let handle = handles[left].clone();
        readers.spawn(async move { timeout(OPERATOR_TIMEOUT, handle.configuration()).await });
    }
    while let Some(answer) = readers.join_next().await {
        let answer = answer.expect("a reader").expect("an answer in time");
        assert_eq!(answer, Err(RequestError::NotLeader(None)));
    }
}
