//! The links to the control replicas.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Config, Event, EventKind, LinkKey, Sender, dial};
use pond_log::{Logger, event};
use pond_proto::view::Delta;
use pond_proto::wire::{Body, ClaimTell, ViewAck};
use pond_settings::Replica;
use tokio::sync::mpsc;

/// Time between heartbeats to control. Each process has a link to each replica, so they are few.
pub const BEAT: Duration = Duration::from_millis(2_000);

/// Silence after which a link to control is lost.
pub const SILENCE: Duration = Duration::from_millis(5_000);

/// Frames for the leader that are kept while there is none.
const KEPT: usize = 4096;

/// What control tells a process.
#[derive(Debug)]
pub enum Told {
    /// A step of the configuration.
    View(Delta),
    /// The decision on a claim.
    Claim(ClaimTell),
    /// Claims that were asked so far are not answered any more.
    LeaderLost,
}

/// One replica.
#[derive(Debug)]
struct Peer {
    address: String,
    name: String,
    sender: Option<Sender>,
}

/// The links to the control replicas. Their keys are 0, 1, 2 and so on.
#[derive(Debug)]
pub struct Control {
    peers: BTreeMap<LinkKey, Peer>,
    leader: Option<LinkKey>,
    term: u64,
    version: u64,
    quiet: Vec<u64>,
    kept: VecDeque<Body>,
    log: Logger,
}

impl Control {
    /// Starts to dial all replicas on the current runtime.
    pub fn start(
        replicas: &[Replica],
        terms: &Arc<Config>,
        events: &mpsc::Sender<Event>,
        log: Logger,
    ) -> Control {
        let calm = terms.as_ref().clone().with_heartbeat(BEAT, SILENCE);
        let terms = Arc::new(calm);
        let mut peers = BTreeMap::new();
        for (i, replica) in replicas.iter().enumerate() {
            let link = LinkKey(i as u64);
            let address = replica.internal;
            tokio::spawn(dial(address, link, terms.clone(), events.clone()));
            let (address, name) = (address.to_string(), replica.name.clone());
            peers.insert(link, Peer { address, name, sender: None });
        }
        Control {
            peers,
            leader: None,
            term: 0,
            version: 0,
            quiet: Vec::new(),
            kept: VecDeque::new(),
            log,
        }
    }

    /// Whether a link is one of these.
    pub fn owns(&self, link: LinkKey) -> bool {
        self.peers.contains_key(&link)
    }

    /// Takes in an event of one of these links.
    pub fn event(&mut self, event: Event) -> Option<Told> {
        let link = event.link;
        match event.kind {
            EventKind::Up { sender, .. } => self.up(link, sender),
            EventKind::Down(error) => return self.down(link, &error),
            EventKind::Frame(Body::Beat(beat)) => return self.beat(&beat.leader, beat.term),
            EventKind::Frame(Body::View(delta)) => return Some(Told::View(delta)),
            EventKind::Frame(Body::ClaimTell(tell)) => return Some(Told::Claim(tell)),
            EventKind::Frame(_) => {}
        }
        None
    }

    fn up(&mut self, link: LinkKey, sender: Sender) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        event!(self.log, LINK_UP, "peer" => peer.name.clone());
        sender.send(Body::ViewAck(ViewAck { version: self.version, quiet: self.quiet.clone() }));
        peer.sender = Some(sender);
    }

    fn down(&mut self, link: LinkKey, error: &pond_link::Error) -> Option<Told> {
        let peer = self.peers.get_mut(&link)?;
        if peer.sender.take().is_some() {
            event!(self.log, LINK_DOWN, "peer" => peer.name.clone(), "why" => error.to_string());
        }
        if self.leader == Some(link) {
            self.leader = None;
            return Some(Told::LeaderLost);
        }
        None
    }

    /// A replica says who leads, in which term.
    fn beat(&mut self, leader: &str, term: u64) -> Option<Told> {
        let found = self.peers.iter().find(|(_, peer)| peer.address == leader);
        let link = found.filter(|(_, peer)| peer.sender.is_some()).map(|(link, _)| *link);
        if term < self.term || link.is_none() {
            return None;
        }
        self.term = term;
        if link == self.leader {
            return None;
        }
        let had = self.leader.is_some();
        self.leader = link;
        for body in std::mem::take(&mut self.kept) {
            self.to_leader(body);
        }
        had.then_some(Told::LeaderLost)
    }

    /// Puts a frame on the leader's link; false if there is none or it is full.
    pub fn to_leader(&self, body: Body) -> bool {
        let peer = self.leader.and_then(|link| self.peers.get(&link));
        peer.and_then(|peer| peer.sender.as_ref()).is_some_and(|sender| sender.send(body))
    }

    /// Puts a frame on the leader's link, now or when there is one again.
    ///
    /// The oldest are dropped beyond a limit, so only for what may be lost.
    pub fn to_leader_later(&mut self, body: Body) {
        if self.to_leader(body.clone()) {
            return;
        }
        self.kept.push_back(body);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// Tells all replicas which version is in force here.
    pub fn ack(&mut self, version: u64, quiet: Vec<u64>) {
        if version == self.version && quiet == self.quiet {
            return;
        }
        self.version = version;
        self.quiet = quiet;
        self.tell(version);
    }

    /// Asks for the whole configuration, as a step of it is missing.
    pub fn ask_all(&self) {
        event!(self.log, VIEW_GAP, "version" => self.version);
        self.tell(0);
    }

    fn tell(&self, version: u64) {
        for peer in self.peers.values() {
            if let Some(sender) = &peer.sender {
                sender.send(Body::ViewAck(ViewAck { version, quiet: self.quiet.clone() }));
            }
        }
    }
}
