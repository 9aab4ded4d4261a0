//! Replicas whose open connections fall silent for good, without a reset, while new ones work.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Event, EventKind, LinkKey, accept, dial};
use pond_proto::Life;
use pond_proto::quorum::{Body as Letter, Letter as QuorumLetter, Member, Present};
use pond_proto::wire::{Body, Role};
use pond_replica::Handle;
use pond_store::Memory;
use pond_test::{Blackhole, BlackholeProxy};
use pond_uplink::{HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use support::{BOUND, REPLICAS, leader, listeners, start};

/// Time in which both ends of a link notice that one of them is not heard: the other end is silent
/// itself from then on.
const NOTICED: Duration = SILENCE_TIMEOUT.saturating_mul(3);

/// The identity of a replica that comes later.
const NEWCOMER: u64 = 4;

/// Replicas, each behind a proxy before its listener. On links to a replica its followers and the
/// leader send their messages.
async fn fleet() -> (Vec<BlackholeProxy>, Vec<Handle>) {
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
async fn quorum_whose_links_all_fall_silent_has_a_leader_again() {
    for swallowed in Blackhole::ALL {
        let (proxies, handles) = fleet().await;
        leader(&handles).await;
        let taken: Vec<usize> = proxies.iter().map(BlackholeProxy::accepted).collect();
        proxies.iter().for_each(|proxy| proxy.drop_bytes(swallowed));
        sleep(NOTICED).await;
        leader(&handles).await;
        for (proxy, taken) in proxies.iter().zip(taken) {
            assert!(proxy.accepted() > taken, "{swallowed:?}: nobody dialled again");
        }
    }
}

/// A replica reduced to its links, which presents itself on each that it dials.
struct Newcomer {
    address: SocketAddr,
    dialled: mpsc::Receiver<Event>,
    senders: Vec<pond_link::Sender>,
}

impl Newcomer {
    fn terms(address: SocketAddr) -> Arc<pond_link::Config> {
        let terms = pond_link::Config::new(Role::Control, "newcomer", "here", Life(NEWCOMER));
        Arc::new(
            terms
                .with_address(&address.to_string())
                .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT),
        )
    }

    fn start(address: SocketAddr, proxies: &[BlackholeProxy]) -> Newcomer {
        let (events, dialled) = mpsc::channel(64);
        for (i, proxy) in proxies.iter().enumerate() {
            let (terms, events) = (Newcomer::terms(address), events.clone());
            tokio::spawn(dial(proxy.address(), LinkKey(i as u64), terms, events));
        }
        Newcomer { address, dialled, senders: Vec::new() }
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

    fn presence(&self) -> QuorumLetter {
        let address = self.address.to_string();
        let member = Member { id: NEWCOMER, name: address.clone(), address, voter: true };
        let present = Letter::Present(Present { member, formed: false, last_index: 0 });
        QuorumLetter { from: NEWCOMER, to: 0, term: 0, body: Some(present) }
    }
}

/// Waits for a letter that only a member gets.
async fn becomes_member(listener: TcpListener, address: SocketAddr) {
    let (events, mut accepted) = mpsc::channel(64);
    tokio::spawn(accept(listener, Newcomer::terms(address), events));
    let mut senders = Vec::new();
    loop {
        match accepted.recv().await.expect("an event").kind {
            EventKind::Up { sender, .. } => senders.push(sender),
            EventKind::Frame(Body::Quorum(letter)) => {
                if !matches!(letter.body, Some(Letter::Present(_)) | None) {
                    return;
                }
            }
            EventKind::Frame(_) | EventKind::Down(_) => {}
        }
    }
}

#[tokio::test]
async fn newcomer_that_presented_itself_again_is_added_though_its_former_link_is_lost_later() {
    let (listeners, seeds) = listeners().await;
    let started = seeds.iter().zip(listeners);
    let handles: Vec<Handle> =
        started.map(|(own, listener)| start(*own, &seeds, listener, Memory::new())).collect();
    leader(&handles).await;
    let mut proxies = Vec::new();
    for address in &seeds {
        proxies.push(BlackholeProxy::start(*address).await);
    }
    // It cannot be reached before it accepts, so it is not added before.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let mut newcomer = Newcomer::start(address, &proxies);
    newcomer.present().await;
    // It hears nothing, so it dials again before the replicas hear nothing of it.
    proxies.iter().for_each(|proxy| proxy.drop_bytes(Blackhole::FromServer));
    newcomer.present().await;
    sleep(NOTICED).await;
    timeout(BOUND, becomes_member(listener, address)).await.expect("it is added in time");
}
