//! Replicas that are all killed while the quorum is being formed for the first time.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_proto::quorum::HardState;
use pond_store::{Memory, Store};
use tokio::task::JoinSet;
use tokio::time::sleep;

use support::node::{Node, addresses, bind, leader};
use support::{listeners_of, settings};

/// Number of replicas.
const REPLICAS: usize = 5;

/// Number of replicas that form the quorum; the others are added by its leader.
const SEEDS: usize = 3;

/// Losses that the quorum must tolerate.
const LOSSES: usize = 2;

/// Starts the system for the first time and kills all replicas after `delay`. Then starts them again, and waits for a
/// leader. The seed with index `lost` has lost its disk meanwhile, if there is one.
async fn kill_all_after(delay: Duration, lost: Option<usize>) {
    let (listeners, all) = listeners_of(REPLICAS).await;
    let seeds: Vec<SocketAddr> = all[..SEEDS].to_vec();
    let started = listeners.into_iter().zip(&all).map(|(listener, address)| {
        let listener = listener.into_std().expect("a listener");
        Node::start(settings(*address, &seeds, LOSSES, true), listener, Memory::new())
    });
    let nodes: Vec<Node> = started.collect();
    sleep(delay).await;
    assert_eq!(addresses(&nodes), all);
    let killed: Vec<(SocketAddr, Memory)> = nodes.into_iter().map(Node::kill).collect();
    let restarted = killed.into_iter().enumerate().map(|(i, (address, disk))| {
        let disk = if Some(i) == lost { Memory::new() } else { disk };
        Node::start(settings(address, &seeds, LOSSES, false), bind(address), disk)
    });
    let nodes: Vec<Node> = restarted.collect();
    leader(&nodes).await;
    nodes.into_iter().for_each(|node| drop(node.kill()));
}

/// Guards against a system without members for good, after all replicas were killed before any of them had an entry in
/// its log.
#[tokio::test]
async fn quorum_is_formed_although_all_replicas_were_killed_meanwhile() {
    let mut cases = JoinSet::new();
    for tenths in 0..12 {
        cases.spawn(kill_all_after(Duration::from_millis(tenths * 100), None));
    }
    while let Some(ended) = cases.join_next().await {
        ended.expect("a leader after the restart");
    }
}

/// Guards against a disk that is lost at the first start and without which no quorum is formed.
#[tokio::test]
async fn quorum_is_formed_although_a_disk_was_lost_meanwhile() {
    let mut cases = JoinSet::new();
    for tenths in 0..6 {
        let delay = Duration::from_millis(tenths * 100);
        cases.spawn(kill_all_after(delay, Some(tenths as usize % SEEDS)));
    }
    while let Some(ended) = cases.join_next().await {
        ended.expect("a leader after the restart");
    }
}

/// Guards against replicas that form no quorum because they had voted, but had no entry in their logs, when all of them
/// were killed.
#[tokio::test]
async fn quorum_is_formed_by_replicas_that_voted_before_they_were_killed() {
    let (listeners, seeds) = listeners_of(SEEDS).await;
    let started = listeners.into_iter().zip(&seeds).map(|(listener, address)| {
        let listener = listener.into_std().expect("a listener");
        let settings = settings(*address, &seeds, 1, false);
        let disk = Memory::new();
        let opened = Store::open_initial(Box::new(disk.clone()), &settings.seeds);
        let (mut store, recovered) = opened.expect("opens");
        let hard = HardState { term: 3, vote: recovered.id, commit: 0 };
        store.append(Some(hard), &[]).expect("writes");
        store.sync().expect("syncs");
        Node::start(settings, listener, disk)
    });
    let nodes: Vec<Node> = started.collect();
    leader(&nodes).await;
    nodes.into_iter().for_each(|node| drop(node.kill()));
}
