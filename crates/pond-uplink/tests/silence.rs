//! The link to control when open connections become silent forever without a reset, while new
//! connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pond_link::{Config, Event, EventKind, LinkKey, Sender, accept};
use pond_proto::fleet::{JobReply, JobRequest, LeaderInfo};
use pond_proto::wire::{Body, Role};
use pond_proto::{Incarnation, Millis};
use pond_test::{Blackhole, BlackholeProxy};
use pond_uplink::{HEARTBEAT_INTERVAL, Notification, SILENCE_TIMEOUT, Uplink};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Time limit to notice the loss, find a leader again and deliver what is sent again. If control
/// still receives data, it notices first and becomes silent itself. This takes two silence timeouts
/// of 0.8 s and the dials. The rest is for a busy machine.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Time between two ticks of the uplink, the same as in its owners.
const TICK: Duration = Duration::from_millis(250);

/// Capacity of the event queues. The tests cause only a few events.
const QUEUE_LEN: usize = 64;

/// A control replica, reduced to its links.
struct Replica {
    address: SocketAddr,
    events: mpsc::Receiver<Event>,
    /// What it reports about the leader to each process.
    lead: LeaderInfo,
    clients: Vec<(LinkKey, Sender)>,
}

impl Replica {
    async fn start(lead: LeaderInfo) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot listen");
        let address = listener.local_addr().expect("no local address");
        let (sender, events) = mpsc::channel(QUEUE_LEN);
        let config = Config::new(Role::Control, "control", "here", Incarnation(1))
            .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        tokio::spawn(accept(listener, Arc::new(config), sender));
        Replica { address, events, lead, clients: Vec::new() }
    }

    /// Accepts links until a request arrives. Returns its link and its ticket.
    async fn next_request(&mut self) -> (LinkKey, u64) {
        loop {
            let Event { link, kind } = self.events.recv().await.expect("events closed");
            match kind {
                EventKind::Up { sender, .. } => {
                    assert!(sender.send(Body::LeaderInfo(self.lead.clone())));
                    self.clients.push((link, sender));
                }
                EventKind::Frame(Body::JobRequest(request)) => return (link, request.ticket),
                EventKind::Frame(other) => panic!("not a request: {other:?}"),
                EventKind::Down(_) => self.clients.retain(|(other, _)| *other != link),
            }
        }
    }

    fn send_reply(&self, link: LinkKey, ticket: u64) {
        let (_, sender) =
            self.clients.iter().find(|(other, _)| *other == link).expect("no link to the client");
        assert!(sender.send(Body::JobReply(JobReply { ticket, ..JobReply::default() })));
    }
}

/// A process with a link to control.
struct Process {
    uplink: Uplink,
    links: mpsc::Receiver<Event>,
    start: Instant,
}

impl Process {
    /// Starts at the first address.
    fn start(addresses: &[SocketAddr]) -> Process {
        let (events, links) = mpsc::channel(QUEUE_LEN);
        let config = Config::new(Role::Entry, "entry", "here", Incarnation(0));
        let addresses = addresses.iter().map(SocketAddr::to_string).collect();
        let uplink = Uplink::start(addresses, config, events, pond_log::silent(), Millis(0));
        Process { uplink, links, start: Instant::now() }
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    async fn next_notification(&mut self) -> Notification {
        loop {
            self.uplink.tick(self.now());
            let event = tokio::select! {
                event = self.links.recv() => event.expect("events closed"),
                () = sleep(TICK) => continue,
            };
            if let Some(notification) = self.uplink.event(self.now(), event) {
                return notification;
            }
        }
    }

    /// Waits for a leader that knows nothing about this process.
    async fn find_leader(&mut self) {
        loop {
            match self.next_notification().await {
                Notification::Leader { new: true, .. } => return,
                Notification::Leader { .. } | Notification::Lost => {}
                Notification::Frame(frame) => panic!("frame before a leader was found: {frame:?}"),
            }
        }
    }

    fn send_request(&self, ticket: u64) -> bool {
        self.uplink.send(Body::JobRequest(JobRequest { ticket, ..JobRequest::default() }))
    }

    /// Waits for the reply to a request.
    async fn expect_reply(&mut self, ticket: u64) {
        match self.next_notification().await {
            Notification::Frame(Body::JobReply(reply)) => assert_eq!(reply.ticket, ticket),
            other => panic!("not a reply: {other:?}"),
        }
    }
}

fn leading() -> LeaderInfo {
    LeaderInfo { is_leader: true, term: 1, ..LeaderInfo::default() }
}

/// Sends a request to the leader over the existing link and waits for the reply. Returns the link.
async fn exchange(process: &mut Process, leader: &mut Replica, ticket: u64) -> LinkKey {
    assert!(process.send_request(ticket));
    let (link, requested) = leader.next_request().await;
    assert_eq!(requested, ticket);
    leader.send_reply(link, ticket);
    process.expect_reply(ticket).await;
    link
}

/// Finds the leader, which accepts links meanwhile, sends a request and waits for the reply.
/// Returns the link.
async fn find_leader_and_exchange(
    process: &mut Process,
    leader: &mut Replica,
    ticket: u64,
) -> LinkKey {
    let found = async {
        process.find_leader().await;
        assert!(process.send_request(ticket));
    };
    let ((), (link, requested)) = tokio::join!(found, leader.next_request());
    assert_eq!(requested, ticket);
    leader.send_reply(link, ticket);
    process.expect_reply(ticket).await;
    link
}

/// Checks that a silent link to the leader is noticed, that the leader is found again, and that a
/// repeated request arrives and is answered. `others` are further replicas that the process starts
/// from.
async fn check_recovery(
    blackhole: Blackhole,
    others: &[SocketAddr],
    proxy: BlackholeProxy,
    mut leader: Replica,
) {
    let mut process = Process::start(&[&[proxy.address()], others].concat());
    let first = timeout(RECOVERY_LIMIT, find_leader_and_exchange(&mut process, &mut leader, 1))
        .await
        .expect("not within the limit");
    proxy.drop_bytes(blackhole);
    // The process cannot know yet that the request or its reply gets lost.
    assert!(process.send_request(2));
    if blackhole == Blackhole::FromServer {
        assert_eq!(leader.next_request().await, (first, 2));
        leader.send_reply(first, 2);
    }
    let second =
        timeout(RECOVERY_LIMIT, find_leader_and_exchange(&mut process, &mut leader, 2)).await;
    assert_ne!(second.expect("not within the limit"), first, "{blackhole:?}");
    let third = timeout(RECOVERY_LIMIT, exchange(&mut process, &mut leader, 3)).await;
    third.expect("not within the limit");
}

#[tokio::test]
async fn link_to_the_only_replica_is_restored() {
    for blackhole in Blackhole::ALL {
        let leader = Replica::start(leading()).await;
        let proxy = BlackholeProxy::start(leader.address).await;
        check_recovery(blackhole, &[], proxy, leader).await;
    }
}

#[tokio::test]
async fn leader_is_found_again_through_another_replica() {
    for blackhole in Blackhole::ALL {
        let leader = Replica::start(leading()).await;
        let proxy = BlackholeProxy::start(leader.address).await;
        let follows = LeaderInfo { leader: proxy.address().to_string(), ..LeaderInfo::default() };
        let mut other = Replica::start(follows).await;
        let address = other.address;
        tokio::spawn(async move { other.next_request().await });
        check_recovery(blackhole, &[address], proxy, leader).await;
    }
}
