//! Links to the control replicas.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Config, Event, EventKind, LinkKey, Sender, dial};
use pond_log::{Logger, event};
use pond_proto::view::Delta;
use pond_proto::wire::{Body, ClaimReply, ViewAck};
use pond_settings::Replica;
use tokio::sync::mpsc;

/// Interval between heartbeats to control. It is long because each process has a link to each replica.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time without any frame after which a link to control counts as lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Maximum number of frames for the leader that are kept while there is none.
const MAX_DEFERRED: usize = 4096;

/// A notification from control to a process.
#[derive(Debug)]
pub enum Notification {
    /// An update of the configuration.
    View(Delta),
    /// The decision on a claim.
    Claim(ClaimReply),
    /// The leader was lost or has changed: claims sent so far will not be decided.
    LeaderLost,
}

/// A control replica and the link to it.
#[derive(Debug)]
struct Peer {
    address: String,
    name: String,
    sender: Option<Sender>,
}

/// The links to the control replicas, with the keys 0, 1, 2 and so on.
#[derive(Debug)]
pub struct Control {
    peers: BTreeMap<LinkKey, Peer>,
    leader: Option<LinkKey>,
    term: u64,
    version: u64,
    drained: Vec<u64>,
    deferred: VecDeque<Body>,
    log: Logger,
}

impl Control {
    /// Starts connecting to all replicas, on the current Tokio runtime.
    pub fn start(
        replicas: &[Replica],
        link_config: &Arc<Config>,
        events: &mpsc::Sender<Event>,
        log: Logger,
    ) -> Control {
        let with_slow_heartbeat =
            link_config.as_ref().clone().with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        let link_config = Arc::new(with_slow_heartbeat);
        let mut peers = BTreeMap::new();
        for (i, replica) in replicas.iter().enumerate() {
            let link = LinkKey(i as u64);
            let address = replica.internal;
            tokio::spawn(dial(address, link, link_config.clone(), events.clone()));
            let (address, name) = (address.to_string(), replica.name.clone());
            peers.insert(link, Peer { address, name, sender: None });
        }
        Control {
            peers,
            leader: None,
            term: 0,
            version: 0,
            drained: Vec::new(),
            deferred: VecDeque::new(),
            log,
        }
    }

    /// Returns whether `link` leads to a control replica.
    pub fn owns(&self, link: LinkKey) -> bool {
        self.peers.contains_key(&link)
    }

    /// Handles an event of one of these links.
    pub fn event(&mut self, event: Event) -> Option<Notification> {
        let link = event.link;
        match event.kind {
            EventKind::Up { sender, .. } => self.link_up(link, sender),
            EventKind::Down(error) => return self.link_down(link, &error),
            EventKind::Frame(Body::Heartbeat(heartbeat)) => {
                return self.heartbeat(&heartbeat.leader, heartbeat.term);
            }
            EventKind::Frame(Body::View(delta)) => return Some(Notification::View(delta)),
            EventKind::Frame(Body::ClaimReply(reply)) => return Some(Notification::Claim(reply)),
            EventKind::Frame(_) => {}
        }
        None
    }

    fn link_up(&mut self, link: LinkKey, sender: Sender) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        event!(self.log, LINK_UP, "peer" => peer.name.clone());
        sender
            .send(Body::ViewAck(ViewAck { version: self.version, drained: self.drained.clone() }));
        peer.sender = Some(sender);
    }

    fn link_down(&mut self, link: LinkKey, error: &pond_link::Error) -> Option<Notification> {
        let peer = self.peers.get_mut(&link)?;
        if peer.sender.take().is_some() {
            event!(self.log, LINK_DOWN, "peer" => peer.name.clone(), "why" => error.to_string());
        }
        if self.leader == Some(link) {
            self.leader = None;
            return Some(Notification::LeaderLost);
        }
        None
    }

    /// Handles a heartbeat, which names the leader and its term.
    fn heartbeat(&mut self, leader: &str, term: u64) -> Option<Notification> {
        let found = self.peers.iter().find(|(_, peer)| peer.address == leader);
        let link = found.filter(|(_, peer)| peer.sender.is_some()).map(|(link, _)| *link);
        if term < self.term || link.is_none() {
            return None;
        }
        self.term = term;
        if link == self.leader {
            return None;
        }
        let had_leader = self.leader.is_some();
        self.leader = link;
        for body in std::mem::take(&mut self.deferred) {
            self.send_to_leader(body);
        }
        had_leader.then_some(Notification::LeaderLost)
    }

    /// Sends a frame to the leader; returns false if there is no link to it or its queue is full.
    pub fn send_to_leader(&self, body: Body) -> bool {
        let peer = self.leader.and_then(|link| self.peers.get(&link));
        peer.and_then(|peer| peer.sender.as_ref()).is_some_and(|sender| sender.send(body))
    }

    /// Sends a frame to the leader, now or once there is a leader again.
    ///
    /// Only for frames that may be lost: beyond [`MAX_DEFERRED`], the oldest are dropped.
    pub fn send_to_leader_eventually(&mut self, body: Body) {
        if self.send_to_leader(body.clone()) {
            return;
        }
        self.deferred.push_back(body);
        if self.deferred.len() > MAX_DEFERRED {
            self.deferred.pop_front();
        }
    }

    /// Reports to all replicas the version in force here and the endpoints that are drained.
    pub fn acknowledge(&mut self, version: u64, drained: Vec<u64>) {
        if version == self.version && drained == self.drained {
            return;
        }
        self.version = version;
        self.drained = drained;
        self.send_acknowledgement(version);
    }

    /// Requests the complete configuration, because an update of it is missing.
    pub fn request_full_view(&self) {
        event!(self.log, VIEW_GAP, "version" => self.version);
        self.send_acknowledgement(0);
    }

    /// Sends `version` to all replicas; zero requests the complete configuration.
    fn send_acknowledgement(&self, version: u64) {
        for peer in self.peers.values() {
            if let Some(sender) = &peer.sender {
                sender.send(Body::ViewAck(ViewAck { version, drained: self.drained.clone() }));
            }
        }
    }
}
