//! Links to other replicas, entries and agents.
//!
//! Each replica dials every other replica it knows and sends to them only on links that it dialled; on
//! links accepted from other replicas it only receives. So it does not matter which of two replicas
//! learned of the other first.

use std::collections::BTreeMap;
use std::sync::Arc;

use pond_link::{Config, Event, EventKind, LinkKey, Sender};
use pond_log::{Logger, event};
use pond_proto::quorum::{Announce, Body as Payload, Envelope};
use pond_proto::wire::{Body, Role as WireRole};
use pond_proto::{Incarnation, Millis};
use pond_quorum::Input;
use pond_uplink::{HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::replica::{Client, Replica, Settings};

/// Maximum size of a frame between processes, in bytes; fits a configuration with thousands of queues.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Capacity of the send queue of a link, in frames; the same on all links of control (see
/// docs/ARCHITECTURE.md).
const LINK_QUEUE: usize = 1024;

/// Another replica.
struct Peer {
    link: LinkKey,
    sender: Option<Sender>,
    /// Since when there is no link; `None` while the link is up.
    down_since: Option<Millis>,
}

/// The other replicas.
pub(crate) struct Peers {
    own_address: String,
    dialled: BTreeMap<String, Peer>,
    /// Addresses by disk identity.
    addresses: BTreeMap<u64, String>,
    config: Arc<Config>,
    events: mpsc::Sender<Event>,
    log: Logger,
}

impl Peers {
    /// Starts to accept links, and dials the replicas named in the settings.
    pub fn start(
        settings: &Settings,
        listener: TcpListener,
        events: mpsc::Sender<Event>,
        log: Logger,
    ) -> Peers {
        let own = settings.internal.to_string();
        let config =
            Config::new(WireRole::Control, &own, &settings.data_centre, Incarnation::random())
                .with_limits(MAX_FRAME_BYTES, LINK_QUEUE)
                .with_address(&own)
                .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        let config = Arc::new(config);
        tokio::spawn(pond_link::accept(listener, config.clone(), events.clone()));
        let (dialled, addresses) = (BTreeMap::new(), BTreeMap::new());
        let mut peers = Peers { own_address: own, dialled, addresses, config, events, log };
        peers.add_addresses(Millis(0), &settings.seeds);
        peers
    }

    /// Dials the replicas at those addresses that are not known yet. They count as unreachable from now on,
    /// until a link is up.
    pub fn add_addresses(&mut self, now: Millis, addresses: &[String]) {
        for address in addresses {
            if *address == self.own_address || self.dialled.contains_key(address) {
                continue;
            }
            let Ok(parsed) = address.parse() else {
                event!(self.log, LINK_REFUSED, "why" => format!("{address} is not a valid address"));
                continue;
            };
            let link = LinkKey(self.dialled.len() as u64);
            let (config, events) = (self.config.clone(), self.events.clone());
            tokio::spawn(pond_link::dial(parsed, link, config, events));
            let peer = Peer { link, sender: None, down_since: Some(now) };
            self.dialled.insert(address.clone(), peer);
        }
    }

    /// Returns the addresses of all known replicas, this one included.
    pub fn known_addresses(&self) -> Vec<String> {
        let others = self.dialled.keys().cloned();
        std::iter::once(self.own_address.clone()).chain(others).collect()
    }

    /// Returns since when the link to a replica is down; `None` if it is up.
    pub fn down_since(&self, address: &str) -> Option<Millis> {
        self.dialled.get(address).and_then(|peer| peer.down_since)
    }

    fn by_link(&mut self, link: LinkKey) -> Option<(&String, &mut Peer)> {
        self.dialled.iter_mut().find(|(_, peer)| peer.link == link)
    }

    /// Sends a message of the quorum to the replica that it names.
    pub fn send(&self, message: Envelope) {
        let peer = self.addresses.get(&message.to).and_then(|address| self.dialled.get(address));
        if let Some(sender) = peer.and_then(|peer| peer.sender.as_ref()) {
            // The quorum repeats lost messages.
            sender.send(Body::Quorum(message));
        }
    }

    fn send_presence_to_all(&self, message: &Envelope) {
        for sender in self.dialled.values().filter_map(|peer| peer.sender.as_ref()) {
            sender.send(Body::Quorum(message.clone()));
        }
    }
}

impl Replica {
    pub(crate) fn handle_link_event(&mut self, event: Event) {
        let now = self.now();
        let link = event.link;
        match event.kind {
            EventKind::Up { hello, sender, .. } if link.is_accepted() => {
                if hello.role() == WireRole::Control && !hello.address.is_empty() {
                    self.peers.add_addresses(now, &[hello.address]);
                }
                if let Some(lead) = &self.announced {
                    sender.send(Body::LeaderInfo(lead.clone()));
                }
                let (name, incarnation) = (hello.name, Incarnation(hello.incarnation));
                self.clients.insert(link, Client { name, incarnation, sender, presented: None });
            }
            EventKind::Up { sender, .. } => {
                let message = self.own_presence();
                sender.send(Body::Quorum(message));
                if let Some((address, peer)) = self.peers.by_link(link) {
                    let address = address.clone();
                    peer.sender = Some(sender);
                    peer.down_since = None;
                    event!(self.log, LINK_UP, "peer" => address);
                }
            }
            EventKind::Down(error) => self.link_down(now, link, &error),
            EventKind::Frame(body) => self.handle_frame(now, link, body),
        }
    }

    fn link_down(&mut self, now: Millis, link: LinkKey, error: &pond_link::Error) {
        if link.is_accepted() {
            let presented = self.clients.remove(&link).and_then(|client| client.presented);
            // The other replica may have noticed the loss first and presented itself on a newer link.
            // It does so only once per link, so forgetting that would mean that it is never added.
            let presented_on_newer_link =
                self.clients.values().any(|client| client.presented == presented);
            if let Some((address, id)) = presented.filter(|_| !presented_on_newer_link) {
                self.formation.link_lost(&address, id);
            }
            if let Some(leader) = &mut self.leader {
                leader.link_down(link.0);
            }
            return;
        }
        let log = self.log.clone();
        let Some((address, peer)) = self.peers.by_link(link) else { return };
        if peer.sender.take().is_some() {
            peer.down_since = Some(now);
            event!(log, LINK_DOWN, "peer" => address.clone(), "why" => error.to_string());
        }
    }

    fn handle_frame(&mut self, now: Millis, link: LinkKey, body: Body) {
        match body {
            Body::Quorum(message) => match message.body {
                Some(Payload::Announce(present)) => self.handle_presence(now, link, present),
                _ if self.accepts_messages() => self.core.step(now, Input::Message(message)),
                // The sender repeats the message.
                _ => {}
            },
            Body::LeaderInfo(lead) => self.peers.add_addresses(now, &lead.replicas),
            Body::JobRequest(request) => self.caller_request(now, link, request),
            Body::Report(report) => self.report(now, link, report),
            _ => {}
        }
    }

    fn own_presence(&self) -> Envelope {
        let present = Payload::Announce(self.formation.present(self.core.last_index()));
        Envelope { from: self.core.id(), to: 0, term: self.core.term(), body: Some(present) }
    }

    /// Announces to all replicas that this one has a log now.
    pub(crate) fn announce_presence(&self) {
        self.peers.send_presence_to_all(&self.own_presence());
    }

    fn handle_presence(&mut self, now: Millis, link: LinkKey, present: Announce) {
        let member = &present.member;
        if let Some(client) = self.clients.get_mut(&link) {
            client.presented = Some((member.address.clone(), member.id));
        }
        self.peers.add_addresses(now, std::slice::from_ref(&member.address));
        self.peers.addresses.insert(member.id, member.address.clone());
        // The log is shorter than what the replica has acknowledged: its disk was restored to an
        // older state, and its votes cannot be trusted.
        let acknowledged = self.core.acknowledged(member.id).unwrap_or(0);
        if present.last_index < acknowledged {
            event!(self.log, OLDER_DISK, "replica" => member.address.clone(),
                "has" => present.last_index, "acknowledged" => acknowledged);
            self.formation.record_outdated(member.id);
        }
        self.formation.record(present);
        self.form_quorum_if_ready();
    }

    /// Dials all members, and records their addresses by identity.
    pub(crate) fn connect_to_members(&mut self) {
        let now = self.now();
        for member in &self.core.members().list {
            self.peers.addresses.insert(member.id, member.address.clone());
            self.peers.add_addresses(now, std::slice::from_ref(&member.address));
        }
    }
}
