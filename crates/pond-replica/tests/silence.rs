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

use support::{RECOVERY_TIMEOUT, REPLICAS, leader, listeners, start};

/// Time in which both ends of a link notice that one direction is silent. The end that notices first is
/// silent itself from then on.
const SILENCE_NOTICED: Duration = SILENCE_TIMEOUT.saturating_mul(3);

/// Disk identity of the replica that joins later.
const JOINING_ID: u64 = 4;

/// Disk identity of its predecessor at the same address.
const PREDECESSOR_ID: u64 = 5;

/// Time in which a leader makes some changes of members.
const MEMBERS_CHANGED: Duration = Duration::from_secs(2);

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
    for blackhole in Blackhole::ALL {
        let (proxies, handles) = start_behind_proxies().await;
        leader(&handles).await;
        let accepted: Vec<usize> = proxies.iter().map(BlackholeProxy::accepted).collect();
        proxies.iter().for_each(|proxy| proxy.drop_bytes(blackhole));
        sleep(SILENCE_NOTICED).await;
        leader(&handles).await;
        for (proxy, accepted) in proxies.iter().zip(accepted) {
            assert!(proxy.accepted() > accepted, "{blackhole:?}: no replica redialled");
        }
    }
}

/// A replica reduced to its links. It presents itself on each link that it dials.
struct JoiningReplica {
    id: u64,
    address: SocketAddr,
    dialled: mpsc::Receiver<Event>,
    senders: Vec<pond_link::Sender>,
}

impl JoiningReplica {
    fn config(address: SocketAddr) -> Arc<pond_link::Config> {
        let config =
            pond_link::Config::new(Role::Control, "newcomer", "here", Incarnation(JOINING_ID));
        Arc::new(
            config
                .with_address(&address.to_string())
                .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT),
        )
    }

    fn start(id: u64, address: SocketAddr, replicas: &[SocketAddr]) -> JoiningReplica {
        let (events, dialled) = mpsc::channel(64);
        for (i, replica) in replicas.iter().enumerate() {
            let (config, events) = (JoiningReplica::config(address), events.clone());
            tokio::spawn(dial(*replica, LinkKey(i as u64), config, events));
        }
        JoiningReplica { id, address, dialled, senders: Vec::new() }
    }

    /// Waits until all links are up.
    async fn link(&mut self) {
        let mut senders = Vec::new();
        while senders.len() < REPLICAS {
            let event = timeout(RECOVERY_TIMEOUT, self.dialled.recv()).await.expect("in time");
            let EventKind::Up { sender, .. } = event.expect("an event").kind else { continue };
            senders.push(sender);
        }
        // A link is closed when its last sender is dropped, so those of the previous links are kept until now.
        self.senders = senders;
    }

    /// Presents itself on each link.
    fn present(&self) {
        for sender in &self.senders {
            assert!(sender.send(Body::Quorum(self.presence())));
        }
    }

    fn presence(&self) -> Envelope {
        let address = self.address.to_string();
        let member = Member { id: self.id, name: address.clone(), address, voter: true };
        let present = Payload::Announce(Announce { member, formed: false, last_index: 0 });
        Envelope { from: self.id, to: 0, term: 0, body: Some(present) }
    }
}

/// The accepting end of the links to a replica that joins.
struct Accepted {
    events: mpsc::Receiver<Event>,
    senders: Vec<pond_link::Sender>,
}

impl Accepted {
    fn start(listener: TcpListener, address: SocketAddr) -> Accepted {
        let (sender, events) = mpsc::channel(64);
        tokio::spawn(accept(listener, JoiningReplica::config(address), sender));
        Accepted { events, senders: Vec::new() }
    }

    /// Waits for a message that only members receive. Returns the disk identity of the member.
    async fn member(&mut self) -> u64 {
        loop {
            match self.events.recv().await.expect("an event").kind {
                EventKind::Up { sender, .. } => self.senders.push(sender),
                EventKind::Frame(Body::Quorum(message)) => {
                    if !matches!(message.body, Some(Payload::Announce(_)) | None) {
                        return message.to;
                    }
                }
                EventKind::Frame(_) | EventKind::Down(_) => {}
            }
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
    let addresses: Vec<SocketAddr> = proxies.iter().map(BlackholeProxy::address).collect();
    let mut joining = JoiningReplica::start(JOINING_ID, address, &addresses);
    joining.link().await;
    joining.present();
    // It receives nothing more, so it redials before the replicas notice that its old link is silent.
    proxies.iter().for_each(|proxy| proxy.drop_bytes(Blackhole::FromServer));
    joining.link().await;
    joining.present();
    sleep(SILENCE_NOTICED).await;
    let mut accepted = Accepted::start(listener, address);
    timeout(RECOVERY_TIMEOUT, accepted.member()).await.expect("it is added in time");
}

/// Guards against the removal of a replica in favour of its predecessor with a lost disk, whose message was delayed.
#[tokio::test]
async fn replica_is_not_replaced_by_its_predecessor_at_the_same_address() {
    let (listeners, seeds) = listeners().await;
    let started = seeds.iter().zip(listeners);
    let handles: Vec<Handle> =
        started.map(|(own, listener)| start(*own, &seeds, listener, Memory::new())).collect();
    leader(&handles).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let mut accepted = Accepted::start(listener, address);
    let mut predecessor = JoiningReplica::start(PREDECESSOR_ID, address, &seeds);
    predecessor.link().await;
    let mut joining = JoiningReplica::start(JOINING_ID, address, &seeds);
    joining.link().await;
    joining.present();
    let added = timeout(RECOVERY_TIMEOUT, accepted.member()).await.expect("it is added in time");
    assert_eq!(added, JOINING_ID);
    predecessor.present();
    let replaced = async { while accepted.member().await == JOINING_ID {} };
    assert!(timeout(MEMBERS_CHANGED, replaced).await.is_err(), "its predecessor was added");
}
