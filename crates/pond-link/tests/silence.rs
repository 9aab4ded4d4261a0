//! Connections that start to lose all bytes, without a reset, while new connections work.

use std::sync::Arc;
use std::time::Duration;

use pond_link::{Config, Error, Event, EventKind, LinkKey, Sender, accept, dial};
use pond_proto::Incarnation;
use pond_proto::wire::{Body, Heartbeat, Role};
use pond_test::{Blackhole, BlackholeProxy};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for both ends to notice the loss and to have a new link. If only one direction is
/// lost, the end that still receives frames notices after two silence timeouts, and dialling
/// waits up to 50 ms: 0.65 s in total. The rest is margin for a busy machine.
const MAX_RECOVERY: Duration = Duration::from_secs(10);

/// One end of a link.
struct End {
    events: mpsc::Receiver<Event>,
    up: Option<(LinkKey, Sender)>,
}

impl End {
    fn new(events: mpsc::Receiver<Event>) -> End {
        End { events, up: None }
    }

    async fn event(&mut self) -> Event {
        timeout(MAX_RECOVERY, self.events.recv()).await.expect("in time").expect("an event")
    }

    async fn wait_until_up(&mut self) {
        match self.event().await {
            Event { link, kind: EventKind::Up { sender, .. } } => self.up = Some((link, sender)),
            other => panic!("the link is not up: {other:?}"),
        }
    }

    fn send(&self, term: u64) {
        let (_, sender) = self.up.as_ref().expect("it is up");
        assert!(sender.send(Body::Heartbeat(Heartbeat { term, ..Heartbeat::default() })));
    }

    async fn expect_frame(&mut self, term: u64) {
        match self.event().await.kind {
            EventKind::Frame(Body::Heartbeat(heartbeat)) => assert_eq!(heartbeat.term, term),
            other => panic!("no frame: {other:?}"),
        }
    }

    /// Waits until the link is lost and another one is up, in any order, and returns the error of
    /// the lost one. Ignores frames that still arrive on the old link.
    async fn wait_until_replaced(&mut self) -> Error {
        // Dropping the sender would close the link.
        let (old, _open) = self.up.take().expect("it is up");
        let mut old_error = None;
        loop {
            let Event { link, kind } = self.event().await;
            match kind {
                EventKind::Up { sender, .. } => self.up = Some((link, sender)),
                EventKind::Down(error) if link == old && old_error.is_none() => {
                    old_error = Some(error)
                }
                EventKind::Down(error) => panic!("the new link is lost: {error}"),
                EventKind::Frame(_) => assert_eq!(link, old),
            }
            if self.up.is_some()
                && let Some(error) = old_error.take()
            {
                return error;
            }
        }
    }
}

fn config(role: Role, incarnation: u64) -> Arc<Config> {
    Arc::new(
        Config::new(role, "name", "here", Incarnation(incarnation))
            .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT),
    )
}

/// Opens a link through a proxy and returns the proxy with the dialling and the accepting end.
async fn link() -> (BlackholeProxy, End, End) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let proxy = BlackholeProxy::start(listener.local_addr().expect("an address")).await;
    let (events, acceptor_events) = mpsc::channel(64);
    tokio::spawn(accept(listener, config(Role::Control, 1), events));
    let (events, dialler_events) = mpsc::channel(64);
    tokio::spawn(dial(proxy.address(), LinkKey(0), config(Role::Agent, 2), events));
    let (mut dialler, mut acceptor) = (End::new(dialler_events), End::new(acceptor_events));
    dialler.wait_until_up().await;
    acceptor.wait_until_up().await;
    (proxy, dialler, acceptor)
}

/// Checks that a link that loses bytes is replaced and that frames sent again arrive.
async fn check_replacement(blackhole: Blackhole) {
    let (proxy, mut dialler, mut acceptor) = link().await;
    dialler.send(1);
    acceptor.send(2);
    acceptor.expect_frame(1).await;
    dialler.expect_frame(2).await;
    proxy.drop_bytes(blackhole);
    // At least one of these frames is lost.
    dialler.send(3);
    acceptor.send(4);
    let (dialler_error, acceptor_error) =
        tokio::join!(dialler.wait_until_replaced(), acceptor.wait_until_replaced());
    for error in [dialler_error, acceptor_error] {
        assert!(matches!(error, Error::Silent { .. }), "{blackhole:?}: {error}");
    }
    dialler.send(3);
    acceptor.send(4);
    acceptor.expect_frame(3).await;
    dialler.expect_frame(4).await;
    assert_eq!(proxy.accepted(), 2, "{blackhole:?}");
}

#[tokio::test]
async fn link_that_loses_bytes_from_the_dialler_is_replaced() {
    check_replacement(Blackhole::FromClient).await;
}

#[tokio::test]
async fn link_that_loses_bytes_from_the_listener_is_replaced() {
    check_replacement(Blackhole::FromServer).await;
}

#[tokio::test]
async fn link_that_loses_bytes_both_ways_is_replaced() {
    check_replacement(Blackhole::Both).await;
}

#[tokio::test]
async fn frames_in_both_queues_do_not_keep_a_silent_link_open() {
    for blackhole in Blackhole::ALL {
        let (proxy, mut dialler, mut acceptor) = link().await;
        proxy.drop_bytes(blackhole);
        let senders: Vec<_> = [&dialler, &acceptor].map(send_continuously).into();
        tokio::join!(dialler.wait_until_replaced(), acceptor.wait_until_replaced());
        for sender in senders {
            sender.await.expect("the sender task panicked");
        }
    }
}

/// Sends frames on a link, more often than heartbeats, until it is lost.
fn send_continuously(end: &End) -> tokio::task::JoinHandle<()> {
    let (_, sender) = end.up.clone().expect("it is up");
    tokio::spawn(async move {
        while sender.send(Body::Heartbeat(Heartbeat { term: 5, ..Heartbeat::default() })) {
            tokio::time::sleep(HEARTBEAT_INTERVAL / 5).await;
        }
    })
}
