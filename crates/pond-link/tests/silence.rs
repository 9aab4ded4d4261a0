//! Links that fall silent for good, without a reset, while new connections work.

use std::sync::Arc;
use std::time::Duration;

use pond_link::{Error, Event, EventKind, LinkKey, Sender, Terms, accept, dial};
use pond_proto::Incarnation;
use pond_proto::wire::{Body, Heartbeat, Role};
use pond_test::{SwallowProxy, Swallowed};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

const BEAT: Duration = Duration::from_millis(50);
const SILENCE: Duration = Duration::from_millis(300);

/// Within this time both ends must have noticed and have a new link. Where bytes get lost one way
/// the end that still hears the other waits for two silences, and a dial for up to 50 ms: 0.65 s;
/// the rest is for a busy machine.
const BOUND: Duration = Duration::from_secs(10);

/// One end of a link.
struct End {
    happened: mpsc::Receiver<Event>,
    up: Option<(LinkKey, Sender)>,
}

impl End {
    fn new(happened: mpsc::Receiver<Event>) -> End {
        End { happened, up: None }
    }

    async fn event(&mut self) -> Event {
        timeout(BOUND, self.happened.recv()).await.expect("in time").expect("an event")
    }

    async fn come_up(&mut self) {
        match self.event().await {
            Event { link, kind: EventKind::Up { sender, .. } } => self.up = Some((link, sender)),
            other => panic!("it is not up: {other:?}"),
        }
    }

    fn say(&self, term: u64) {
        let (_, sender) = self.up.as_ref().expect("it is up");
        assert!(sender.send(Body::Heartbeat(Heartbeat { term, ..Heartbeat::default() })));
    }

    async fn hear(&mut self, term: u64) {
        match self.event().await.kind {
            EventKind::Frame(Body::Heartbeat(beat)) => assert_eq!(beat.term, term),
            other => panic!("no frame: {other:?}"),
        }
    }

    /// Waits until the link is lost and there is another one, in any order; why it was lost. What
    /// still comes on the old one is dropped.
    async fn replace(&mut self) -> Error {
        // An owner that drops the sender ends the link.
        let (old, _kept) = self.up.take().expect("it is up");
        let mut lost = None;
        loop {
            let Event { link, kind } = self.event().await;
            match kind {
                EventKind::Up { sender, .. } => self.up = Some((link, sender)),
                EventKind::Down(error) if link == old && lost.is_none() => lost = Some(error),
                EventKind::Down(error) => panic!("the new one is lost: {error}"),
                EventKind::Frame(_) => assert_eq!(link, old),
            }
            if self.up.is_some()
                && let Some(lost) = lost.take()
            {
                return lost;
            }
        }
    }
}

fn terms(role: Role, life: u64) -> Arc<Terms> {
    Arc::new(Terms::new(role, "name", "here", Incarnation(life)).with_times(BEAT, SILENCE))
}

/// A dialled link through a proxy, and its two ends: the dialling and the listening one.
async fn link() -> (SwallowProxy, End, End) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let proxy = SwallowProxy::start(listener.local_addr().expect("an address")).await;
    let (events, accepted) = mpsc::channel(64);
    tokio::spawn(accept(listener, terms(Role::Control, 1), events));
    let (events, dialled) = mpsc::channel(64);
    tokio::spawn(dial(proxy.address(), LinkKey(0), terms(Role::Agent, 2), events));
    let (mut near, mut far) = (End::new(dialled), End::new(accepted));
    near.come_up().await;
    far.come_up().await;
    (proxy, near, far)
}

/// A link whose bytes get lost is replaced, and what is sent again arrives.
async fn is_replaced(swallowed: Swallowed) {
    let (proxy, mut near, mut far) = link().await;
    near.say(1);
    far.say(2);
    far.hear(1).await;
    near.hear(2).await;
    proxy.swallow(swallowed);
    // One of the two at least gets lost.
    near.say(3);
    far.say(4);
    let (near_lost, far_lost) = tokio::join!(near.replace(), far.replace());
    for lost in [near_lost, far_lost] {
        assert!(matches!(lost, Error::Silent { .. }), "{swallowed:?}: {lost}");
    }
    near.say(3);
    far.say(4);
    far.hear(3).await;
    near.hear(4).await;
    assert_eq!(proxy.taken(), 2, "{swallowed:?}");
}

#[tokio::test]
async fn link_whose_dialler_is_not_heard_is_replaced() {
    is_replaced(Swallowed::Asked).await;
}

#[tokio::test]
async fn link_whose_listener_is_not_heard_is_replaced() {
    is_replaced(Swallowed::Answered).await;
}

#[tokio::test]
async fn link_on_which_neither_is_heard_is_replaced() {
    is_replaced(Swallowed::Both).await;
}

#[tokio::test]
async fn frames_in_both_queues_do_not_keep_a_silent_link() {
    for swallowed in Swallowed::ALL {
        let (proxy, mut near, mut far) = link().await;
        proxy.swallow(swallowed);
        let talkers: Vec<_> = [&near, &far].map(talk).into();
        tokio::join!(near.replace(), far.replace());
        for talker in talkers {
            talker.await.expect("it ends with its link");
        }
    }
}

/// Sends frames on a link, more often than beats, until it is lost.
fn talk(end: &End) -> tokio::task::JoinHandle<()> {
    let (_, sender) = end.up.clone().expect("it is up");
    tokio::spawn(async move {
        while sender.send(Body::Heartbeat(Heartbeat { term: 5, ..Heartbeat::default() })) {
            tokio::time::sleep(BEAT / 5).await;
        }
    })
}
