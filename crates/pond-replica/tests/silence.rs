//! Replicas whose open connections silently drop all data, without a reset, while new connections work.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Event, EventKind, LinkKey, accept, dial};
use pond_proto::Incarnation;
use pond_proto::quorum::{Announce, Body as Payload, Envelope, Member};
use pond_proto::wire::{Body, Role};
use pond_replica::Handle;
use pond_store::Memory;
use pond_test::{Blackhole, BlackholeProxy};
use pond_uplink::{HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use support::{BOUND, REPLICAS, leader, listeners, start};

/// Time in which both ends of a link notice that one direction is silent. The end that notices first is
/// silent itself from then on.
const SILENCE_NOTICED: Duration = SILENCE_TIMEOUT.saturating_mul(3);

/// Disk identity of the replica that joins later.
const JOINING_ID: u64 = 4;

/// Starts replicas, each with a proxy in front of its listener. The other replicas send all their
/// messages to it through that proxy.
async fn start_behind_proxies() -> (Vec<BlackholeProxy>, Vec<Handle>) {
    let (listeners, addresses) = listeners().await;
    let mut proxies = Vec::new();
    for address in addresses {
        proxies.push(BlackholeProxy::start(address).await);
    }
    let seeds: Vec<SocketAddr> = proxies.iter().map(BlackholeProxy::address).collect();
    let started = seeds.iter().zip(listeners);
    let handles =
        started.map(|(own, listener)| start(*own, &seeds, listener, Memory::new())).collect();
    (proxies, handles)
}

#[tokio::test]
async fn quorum_elects_a_leader_after_all_links_fell_silent() {
    for swallowed in Blackhole::ALL {
        let (proxies, handles) = start_behind_proxies().await;
        leader(&handles).await;
        let taken: Vec<usize> = proxies.iter().map(BlackholeProxy::accepted).collect();
        proxies.iter().for_each(|proxy| proxy.drop_bytes(swallowed));
        sleep(SILENCE_NOTICED).await;
        leader(&handles).await;
        for (proxy, taken) in proxies.iter().zip(taken) {
            assert!(proxy.accepted() > taken, "{swallowed:?}: no replica redialled");
        }
    }
}

/// A replica reduced to its links. It presents itself on each link that it dials.
struct JoiningReplica {
    address: SocketAddr,
    dialled: mpsc::Receiver<Event>,
    senders: Vec<pond_link::Sender>,
}

impl JoiningReplica {
    fn terms(address: SocketAddr) -> Arc<pond_link::Config> {
        let terms =
            pond_link::Config::new(Role::Control, "newcomer", "here", Incarnation(JOINING_ID));
        Arc::new(
            terms
                .with_address(&address.to_string())
                .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT),
        )
    }

    fn start(address: SocketAddr, proxies: &[BlackholeProxy]) -> JoiningReplica {
        let (events, dialled) = mpsc::channel(64);
        for (i, proxy) in proxies.iter().enumerate() {
            let (terms, events) = (JoiningReplica::terms(address), events.clone());
            tokio::spawn(dial(proxy.address(), LinkKey(i as u64), terms, events));
        }
        JoiningReplica { address, dialled, senders: Vec::new() }
    }

    /// Waits until all links are up, and presents itself on each.
    async fn present(&mut self) {
        let mut up = 0;
        while up < REPLICAS {
            let event = timeout(BOUND, self.dialled.recv()).await.expect("in time");
            let EventKind::Up { sender, .. } = event.expect("an event").kind else { continue };
            assert!(sender.send(Body::Quorum(self.presence())));
            self.senders.push(sender);
            up += 1;
        }
    }

    fn presence(&self) -> Envelope {
        let address = self.address.to_string();
        let member = Member { id: JOINING_ID, name: address.clone(), address, voter: true };
        let present = Payload::Announce(Announce { member, formed: false, last_index: 0 });
        Envelope { from: JOINING_ID, to: 0, term: 0, body: Some(present) }
    }
}

/// Waits for a message that only members receive.
async fn becomes_member(listener: TcpListener, address: SocketAddr) {
    let (events, mut accepted) = mpsc::channel(64);
    tokio::spawn(accept(listener, JoiningReplica::terms(address), events));
    let mut senders = Vec::new();
    loop {
        match accepted.recv().await.expect("an event").kind {
            EventKind::Up { sender, .. } => senders.push(sender),
            EventKind::Frame(Body::Quorum(message)) => {
                if !matches!(message.body, Some(Payload::Announce(_)) | None) {
                    return;
                }
            }
            EventKind::Frame(_) | EventKind::Down(_) => {}
        }
    }
}

#[tokio::test]
async fn replica_that_presented_itself_again_is_added_although_its_old_link_is_lost_later() {
    let (listeners, seeds) = listeners().await;
    let started = seeds.iter().zip(listeners);
    let handles: Vec<Handle> =
        started.map(|(own, listener)| start(*own, &seeds, listener, Memory::new())).collect();
    leader(&handles).await;
    let mut proxies = Vec::new();
    for address in &seeds {
        proxies.push(BlackholeProxy::start(*address).await);
    }
    // It is not added before it accepts links, because it cannot be reached until then.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let mut joining = JoiningReplica::start(address, &proxies);
    joining.present().await;
    // It receives nothing more, so it redials before the replicas notice that its old link is silent.
    proxies.iter().for_each(|proxy| proxy.drop_bytes(Blackhole::FromServer));
    joining.present().await;
    sleep(SILENCE_NOTICED).await;
    timeout(BOUND, becomes_member(listener, address)).await.expect("it is added in time");
}
