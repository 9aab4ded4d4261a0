//! Replicas that are replaced by others with empty disks at other addresses. Afterwards the quorum must tolerate as
//! many lost disks as before, while all other replicas lose power at the same moment.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pond_job::Configuration;
use pond_store::Memory;
use tokio::time::{sleep, timeout};

use support::node::{Node, addresses, bind, find_leader, leader};
use support::{CATCH_UP, RECOVERY_TIMEOUT, listeners_of, settings};

/// Time between a replacement and the next.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Time between the loss of a replica and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(500);

/// Time between an operator's attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts `voters` replicas that form a quorum and must tolerate the loss of `losses` of them.
async fn form(voters: usize, losses: usize) -> Vec<Node> {
    let (listeners, addresses) = listeners_of(voters).await;
    let nodes = listeners.into_iter().zip(&addresses).map(|(listener, address)| {
        let listener = listener.into_std().expect("a listener");
        Node::start(settings(*address, &addresses, losses, true), listener, Memory::new())
    });
    nodes.collect()
}

/// Starts a replica with an empty disk at an address of its own.
fn add(nodes: &mut Vec<Node>, losses: usize) {
    let listener = bind("127.0.0.1:0".parse().expect("an address"));
    let own = listener.local_addr().expect("an address");
    let settings = settings(own, &addresses(nodes), losses, false);
    nodes.push(Node::start(settings, listener, Memory::new()));
}

/// Sends a configuration to all replicas in turn until one accepts it.
async fn configure(nodes: &[Node], version: u64, source: &str) {
    let accepted = async {
        loop {
            for node in nodes {
                let source = source.to_owned();
                let order = Configuration { version, source, ..Configuration::default() };
                if node.handle.configure(order).await.is_ok() {
                    return;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, accepted).await.expect("accepted in time")
}

/// Kills all replicas at once. The last `lost` of them lose their disks, the others all writes that are not synced.
/// Then starts all of them again.
fn lose_power_and_disks(nodes: Vec<Node>, lost: usize, losses: usize) -> Vec<Node> {
    let addresses = addresses(&nodes);
    let intact = nodes.len() - lost;
    let killed: Vec<(SocketAddr, Memory)> = nodes.into_iter().map(Node::kill).collect();
    let restarted = killed.into_iter().enumerate().map(|(i, (address, disk))| {
        let disk = if i < intact { disk } else { Memory::new() };
        Node::start(settings(address, &addresses, losses, false), bind(address), disk)
    });
    restarted.collect()
}

/// Replaces the leader and the oldest replica in turn. Returns as soon as the last successor has started.
async fn replace_in_turn(nodes: &mut Vec<Node>, replacements: usize, losses: usize) {
    for replacement in 0..replacements {
        sleep(REPLACEMENT_INTERVAL).await;
        let replaced = if replacement % 2 == 0 { leader(nodes).await } else { 0 };
        nodes.remove(replaced).kill();
        sleep(SUCCESSOR_DELAY).await;
        add(nodes, losses);
    }
}

/// Replaces three replicas of a quorum. It must survive lost disks as soon as the last successor has caught up.
async fn survives_lost_disks_after_replacements(voters: usize, losses: usize) {
    let mut nodes = form(voters, losses).await;
    leader(&nodes).await;
    replace_in_turn(&mut nodes, 3, losses).await;
    sleep(CATCH_UP).await;
    survives_lost_disks(nodes, losses).await;
}

/// Takes as many disks as must be tolerated to lose, with the power of all other replicas. What was acknowledged must
/// still be there.
async fn survives_lost_disks(nodes: Vec<Node>, losses: usize) {
    configure(&nodes, 1, "acknowledged").await;
    let nodes = lose_power_and_disks(nodes, losses, losses);
    let elected = find_leader(&nodes).await.expect("a leader after disks were lost");
    let configuration = nodes[elected].handle.configuration().await.expect("a leader");
    assert_eq!(configuration.as_deref(), Some("acknowledged"));
    nodes.into_iter().for_each(|node| drop(node.kill()));
}

/// Guards against replaced replicas that stay voters, so that nothing is accepted any more once as many of them are gone
/// as leave no majority.
#[tokio::test]
async fn quorum_of_three_survives_a_lost_disk_after_replacements() {
    survives_lost_disks_after_replacements(3, 1).await;
}

/// Guards against replaced replicas that stay voters beside an even number of others.
#[tokio::test]
async fn quorum_of_four_survives_a_lost_disk_after_replacements() {
    survives_lost_disks_after_replacements(4, 1).await;
}

/// Guards against replaced replicas that stay voters, so that the loss of as many disks as the settings allow leaves no
/// majority for good.
#[tokio::test]
async fn quorum_of_five_survives_lost_disks_after_replacements() {
    survives_lost_disks_after_replacements(5, 2).await;
}

/// Guards against voters that are kept or removed by a number that fits only small quorums.
#[tokio::test]
async fn quorum_of_nine_survives_lost_disks_after_replacements() {
    survives_lost_disks_after_replacements(9, 4).await;
}

/// Guards against a predecessor that stays a voter because its successor voted before it was lost.
#[tokio::test]
async fn quorum_survives_lost_disks_after_two_successors_came_before_their_predecessors_left() {
    let (voters, losses) = (5, 2);
    let mut nodes = form(voters, losses).await;
    leader(&nodes).await;
    add(&mut nodes, losses);
    add(&mut nodes, losses);
    sleep(SUCCESSOR_DELAY).await;
    nodes.drain(..losses).for_each(|predecessor| drop(predecessor.kill()));
    sleep(CATCH_UP - SUCCESSOR_DELAY).await;
    survives_lost_disks(nodes, losses).await;
}

/// Replaces replicas by successors that are lost after the given times and replaced as well.
async fn survives_lost_disks_after_lost_successors(voters: usize, losses: usize) {
    let mut nodes = form(voters, losses).await;
    for successor_life_ms in [0, 300, 800, 1_500] {
        let lost = leader(&nodes).await;
        nodes.remove(lost).kill();
        sleep(SUCCESSOR_DELAY).await;
        add(&mut nodes, losses);
        sleep(Duration::from_millis(successor_life_ms)).await;
        nodes.pop().expect("the successor").kill();
        add(&mut nodes, losses);
        sleep(CATCH_UP).await;
    }
    survives_lost_disks(nodes, losses).await;
}

/// Guards against a successor that votes beside its predecessor and is lost, so that two voters are missing for good.
#[tokio::test]
async fn quorum_of_three_survives_lost_successors() {
    survives_lost_disks_after_lost_successors(3, 1).await;
}

/// Guards against voters that are gone and were counted because a successor was lost.
#[tokio::test]
async fn quorum_of_five_survives_lost_successors() {
    survives_lost_disks_after_lost_successors(5, 2).await;
}
