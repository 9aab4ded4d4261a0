//! Links to other replicas and to the processes that follow them.
//!
//! Each replica dials every other one it knows and sends only on links that it dialled; what comes
//! in on accepted links is only read. So it does not matter which of two replicas knew the other
//! first.

use std::collections::BTreeMap;
use std::sync::Arc;

use pond_link::{Config, Event, EventKind, LinkKey, Sender};
use pond_log::{Logger, event};
use pond_proto::quorum::{Body as Letter, Letter as QuorumLetter, Present};
use pond_proto::wire::{Body, Role as WireRole};
use pond_proto::{Life, Millis};
use pond_quorum::Input;
use pond_uplink::{HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::replica::{Guest, Replica, Settings};

/// Largest frame between processes, in bytes: a configuration with thousands of queues.
const FRAME_BYTES: usize = 8 << 20;

/// Frames that may wait on one link, as on all links of control (see docs/ARCHITECTURE.md).
const LINK_QUEUE: usize = 1024;

/// Another replica.
struct Peer {
    link: LinkKey,
    sender: Option<Sender>,
    /// Since when there is no link.
    down: Option<Millis>,
}

/// The other replicas.
pub(crate) struct Peers {
    own: String,
    dialled: BTreeMap<String, Peer>,
    /// Addresses by the identity of the disk.
    addresses: BTreeMap<u64, String>,
    terms: Arc<Config>,
    events: mpsc::Sender<Event>,
    log: Logger,
}

impl Peers {
    /// Listens, and dials the replicas of the settings.
    pub fn start(
        settings: &Settings,
        listener: TcpListener,
        events: mpsc::Sender<Event>,
        log: Logger,
    ) -> Peers {
        let own = settings.internal.to_string();
        let terms = Config::new(WireRole::Control, &own, &settings.data_centre, Life::random())
            .with_limits(FRAME_BYTES, LINK_QUEUE)
            .with_address(&own)
            .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        let terms = Arc::new(terms);
        tokio::spawn(pond_link::accept(listener, terms.clone(), events.clone()));
        let (dialled, addresses) = (BTreeMap::new(), BTreeMap::new());
        let mut peers = Peers { own, dialled, addresses, terms, events, log };
        peers.learn(&settings.seeds);
        peers
    }

    /// Dials replicas that are not known yet.
    pub fn learn(&mut self, addresses: &[String]) {
        for address in addresses {
            if *address == self.own || self.dialled.contains_key(address) {
                continue;
            }
            let Ok(parsed) = address.parse() else {
                event!(self.log, LINK_REFUSED, "why" => format!("{address} is no address"));
                continue;
            };
            let link = LinkKey(self.dialled.len() as u64);
            let (terms, events) = (self.terms.clone(), self.events.clone());
            tokio::spawn(pond_link::dial(parsed, link, terms, events));
            let peer = Peer { link, sender: None, down: Some(Millis(0)) };
            self.dialled.insert(address.clone(), peer);
        }
    }

    /// The addresses of all replicas that are known.
    pub fn known(&self) -> Vec<String> {
        let others = self.dialled.keys().cloned();
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Since when the link to a replica is down; none if it is up.
    pub fn down_since(&self, address: &str) -> Option<Millis> {
        self.dialled.get(address).and_then(|peer| peer.down)
    }

    fn of(&mut self, link: LinkKey) -> Option<(&String, &mut Peer)> {
        self.dialled.iter_mut().find(|(_, peer)| peer.link == link)
    }

    /// Sends a message of the quorum.
    pub fn send(&self, letter: QuorumLetter) {
        let peer = self.addresses.get(&letter.to).and_then(|address| self.dialled.get(address));
        if let Some(sender) = peer.and_then(|peer| peer.sender.as_ref()) {
            // The quorum sends again what is lost.
            sender.send(Body::Quorum(letter));
        }
    }

    fn present_to_all(&self, letter: &QuorumLetter) {
        for sender in self.dialled.values().filter_map(|peer| peer.sender.as_ref()) {
            sender.send(Body::Quorum(letter.clone()));
        }
    }
}

impl Replica {
    pub(crate) fn link(&mut self, event: Event) {
        let now = self.now();
        let link = event.link;
        match event.kind {
            EventKind::Up { hello, sender, .. } if link.is_accepted() => {
                if hello.role() == WireRole::Control && !hello.address.is_empty() {
                    self.peers.learn(&[hello.address]);
                }
                if let Some(lead) = &self.told {
                    sender.send(Body::Lead(lead.clone()));
                }
                self.guests.insert(link, Guest { name: hello.name, sender, presented: None });
            }
            EventKind::Up { sender, .. } => {
                let letter = self.own_presence();
                sender.send(Body::Quorum(letter));
                if let Some((address, peer)) = self.peers.of(link) {
                    let address = address.clone();
                    peer.sender = Some(sender);
                    peer.down = None;
                    event!(self.log, LINK_UP, "peer" => address);
                }
            }
            EventKind::Down(error) => self.link_down(now, link, &error),
            EventKind::Frame(body) => self.frame(now, link, body),
        }
    }

    fn link_down(&mut self, now: Millis, link: LinkKey, error: &pond_link::Error) {
        if link.is_accepted() {
            let presented = self.guests.remove(&link).and_then(|guest| guest.presented);
            // The other end may have noticed the loss first and have presented itself on a newer
            // link; if that were forgotten, it would never be added, as it does so once a link.
            let again = self.guests.values().any(|guest| guest.presented == presented);
            if let Some((address, id)) = presented.filter(|_| !again) {
                self.formation.link_lost(&address, id);
            }
            if let Some(leader) = &mut self.leader {
                leader.link_down(link.0);
            }
            return;
        }
        let log = self.log.clone();
        let Some((address, peer)) = self.peers.of(link) else { return };
        if peer.sender.take().is_some() {
            peer.down = Some(now);
            event!(log, LINK_DOWN, "peer" => address.clone(), "why" => error.to_string());
        }
    }

    fn frame(&mut self, now: Millis, link: LinkKey, body: Body) {
        match body {
            Body::Quorum(letter) => match letter.body {
                Some(Letter::Present(present)) => self.presented(now, link, present),
                _ if self.takes_letters() => self.core.step(now, Input::Letter(letter)),
                // It is sent again.
                _ => {}
            },
            Body::Lead(lead) => self.peers.learn(&lead.replicas),
            Body::Ask(ask) => self.ask(now, link, ask),
            Body::Report(report) => self.report(now, link, report),
            _ => {}
        }
    }

    fn own_presence(&self) -> QuorumLetter {
        let present = Letter::Present(self.formation.present(self.core.last_index()));
        QuorumLetter { from: self.core.id(), to: 0, term: self.core.term(), body: Some(present) }
    }

    /// Tells all replicas that this one has a log now.
    pub(crate) fn present_again(&self) {
        self.peers.present_to_all(&self.own_presence());
    }

    fn presented(&mut self, now: Millis, link: LinkKey, present: Present) {
        let member = &present.member;
        if let Some(guest) = self.guests.get_mut(&link) {
            guest.presented = Some((member.address.clone(), member.id));
        }
        self.peers.learn(std::slice::from_ref(&member.address));
        self.peers.addresses.insert(member.id, member.address.clone());
        // A log shorter than what it acknowledged: its disk was put back to an older state, and
        // its votes cannot be trusted.
        let acknowledged = self.core.acknowledged(member.id).unwrap_or(0);
        if present.last_index < acknowledged {
            event!(self.log, OLDER_DISK, "replica" => member.address.clone(),
                "has" => present.last_index, "acknowledged" => acknowledged);
            self.core.step(now, Input::Remove(member.id));
        }
        self.formation.hear(present);
        self.try_to_form();
    }

    /// Dials all members and knows them by their identities.
    pub(crate) fn learn_members(&mut self) {
        for member in &self.core.members().list {
            self.peers.addresses.insert(member.id, member.address.clone());
            self.peers.learn(std::slice::from_ref(&member.address));
        }
    }
}
