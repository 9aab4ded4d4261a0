//! The link to control when open connections fall silent for good, without a reset, while new ones
//! work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pond_link::{Event, EventKind, LinkKey, Sender, Terms, accept};
use pond_proto::fleet::{Ask, Lead, Tell};
use pond_proto::wire::{Body, Role};
use pond_proto::{Life, Millis};
use pond_test::{SwallowProxy, Swallowed};
use pond_uplink::{HEARTBEAT_INTERVAL, Notification, SILENCE_TIMEOUT, Uplink};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Within this time the loss must be noticed, a leader found again and what is sent again be there.
/// Where control goes on being heard, it notices first and falls silent itself: two silences of
/// 0.8 s and the dials; the rest is for a busy machine.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Time between looks at the uplink, as its owners have it.
const TICK: Duration = Duration::from_millis(250);

/// Events that may wait; the tests make a few.
const QUEUE_LEN: usize = 64;

/// A replica of control, reduced to its links.
struct Replica {
    address: SocketAddr,
    events: mpsc::Receiver<Event>,
    /// What it tells each process of the lead.
    lead: Lead,
    clients: Vec<(LinkKey, Sender)>,
}

impl Replica {
    async fn start(lead: Lead) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        let (sender, events) = mpsc::channel(QUEUE_LEN);
        let terms = Terms::new(Role::Control, "control", "here", Life(1))
            .with_times(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        tokio::spawn(accept(listener, Arc::new(terms), sender));
        Replica { address, events, lead, clients: Vec::new() }
    }

    /// Takes links in until an ask comes; its link and its ticket.
    async fn asked(&mut self) -> (LinkKey, u64) {
        loop {
            let Event { link, kind } = self.events.recv().await.expect("an event");
            match kind {
                EventKind::Up { sender, .. } => {
                    assert!(sender.send(Body::Lead(self.lead.clone())));
                    self.clients.push((link, sender));
                }
                EventKind::Frame(Body::Ask(ask)) => return (link, ask.ticket),
                EventKind::Frame(other) => panic!("no ask: {other:?}"),
                EventKind::Down(_) => self.clients.retain(|(other, _)| *other != link),
            }
        }
    }

    fn tell(&self, link: LinkKey, ticket: u64) {
        let (_, sender) = self.clients.iter().find(|(other, _)| *other == link).expect("a guest");
        assert!(sender.send(Body::Tell(Tell { ticket, ..Tell::default() })));
    }
}

/// A process with a link to control.
struct Process {
    uplink: Uplink,
    links: mpsc::Receiver<Event>,
    start: Instant,
}

impl Process {
    /// It starts at the first address.
    fn start(addresses: &[SocketAddr]) -> Process {
        let (events, links) = mpsc::channel(QUEUE_LEN);
        let terms = Terms::new(Role::Entry, "entry", "here", Life(0));
        let addresses = addresses.iter().map(SocketAddr::to_string).collect();
        let uplink = Uplink::start(addresses, terms, events, pond_log::silent(), Millis(0));
        Process { uplink, links, start: Instant::now() }
    }

    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    async fn next_notification(&mut self) -> Notification {
        loop {
            self.uplink.tick(self.now());
            let event = tokio::select! {
                event = self.links.recv() => event.expect("an event"),
                () = sleep(TICK) => continue,
            };
            if let Some(next_notification) = self.uplink.event(self.now(), event) {
                return next_notification;
            }
        }
    }

    /// Waits for a leader that knows nothing of this process.
    async fn find_leader(&mut self) {
        loop {
            match self.next_notification().await {
                Notification::Leader { new: true, .. } => return,
                Notification::Leader { .. } | Notification::Lost => {}
                Notification::Frame(frame) => panic!("too early: {frame:?}"),
            }
        }
    }

    fn ask(&self, ticket: u64) -> bool {
        self.uplink.send(Body::Ask(Ask { ticket, ..Ask::default() }))
    }

    /// Waits for the answer to an ask.
    async fn expect_reply(&mut self, ticket: u64) {
        match self.next_notification().await {
            Notification::Frame(Body::Tell(tell)) => assert_eq!(tell.ticket, ticket),
            other => panic!("no answer: {other:?}"),
        }
    }
}

fn leads() -> Lead {
    Lead { leads: true, term: 1, ..Lead::default() }
}

/// Asks the leader over the link that there is, and is answered; the link.
async fn exchange(process: &mut Process, leader: &mut Replica, ticket: u64) -> LinkKey {
    assert!(process.ask(ticket));
    let (link, asked) = leader.asked().await;
    assert_eq!(asked, ticket);
    leader.tell(link, ticket);
    process.expect_reply(ticket).await;
    link
}

/// Finds the leader, which takes links in meanwhile, asks and is answered; the link.
async fn find_and_ask(process: &mut Process, leader: &mut Replica, ticket: u64) -> LinkKey {
    let found = async {
        process.find_leader().await;
        assert!(process.ask(ticket));
    };
    let ((), (link, asked)) = tokio::join!(found, leader.asked());
    assert_eq!(asked, ticket);
    leader.tell(link, ticket);
    process.expect_reply(ticket).await;
    link
}

/// A link to the leader falls silent: it is noticed as lost, the leader is found again, and what is
/// sent again arrives and is answered. `others` are further replicas that the process starts from.
async fn recovers(
    swallowed: Swallowed,
    others: &[SocketAddr],
    proxy: SwallowProxy,
    mut leader: Replica,
) {
    let mut process = Process::start(&[&[proxy.address()], others].concat());
    let first =
        timeout(RECOVERY_LIMIT, find_and_ask(&mut process, &mut leader, 1)).await.expect("in time");
    proxy.swallow(swallowed);
    // Nobody can know yet that it or its answer gets lost.
    assert!(process.ask(2));
    if swallowed == Swallowed::Answered {
        assert_eq!(leader.asked().await, (first, 2));
        leader.tell(first, 2);
    }
    let second = timeout(RECOVERY_LIMIT, find_and_ask(&mut process, &mut leader, 2)).await;
    assert_ne!(second.expect("in time"), first, "{swallowed:?}");
    let third = timeout(RECOVERY_LIMIT, exchange(&mut process, &mut leader, 3)).await;
    third.expect("in time");
}

#[tokio::test]
async fn link_to_the_only_replica_is_made_again() {
    for swallowed in Swallowed::ALL {
        let leader = Replica::start(leads()).await;
        let proxy = SwallowProxy::start(leader.address).await;
        recovers(swallowed, &[], proxy, leader).await;
    }
}

#[tokio::test]
async fn leader_is_found_again_through_another_replica() {
    for swallowed in Swallowed::ALL {
        let leader = Replica::start(leads()).await;
        let proxy = SwallowProxy::start(leader.address).await;
        let follows = Lead { leader: proxy.address().to_string(), ..Lead::default() };
        let mut other = Replica::start(follows).await;
        let address = other.address;
        tokio::spawn(async move { other.asked().await });
        recovers(swallowed, &[address], proxy, leader).await;
    }
}
