//! Links to other replicas, entries and agents.
//!
//! Each replica dials every other replica it knows and sends to them only on links that it dialled; on
//! links accepted from other replicas it only receives. So it does not matter which of two replicas
//! learned of the other first.

use std::collections::BTreeMap;
use std::ops::Bound;
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
use tokio::task::JoinHandle;

use crate::addresses::Addresses;
use crate::replica::{Client, Replica, Settings};

/// Maximum size of a frame between processes, in bytes; fits a configuration with thousands of queues.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Capacity of the send queue of a link, in frames; the same on all links of control (see
/// docs/ARCHITECTURE.md).
const LINK_QUEUE: usize = 1024;

/// Another replica.
struct Peer {
    /// Dials it.
    task: JoinHandle<()>,
    /// The sending end of the link while it is up.
    sender: Option<Sender>,
}

/// The other replicas.
pub(crate) struct Peers {
    own_address: String,
    addresses: Addresses,
    dialled: BTreeMap<LinkKey, Peer>,
    /// Addresses by disk identity.
    identities: BTreeMap<u64, String>,
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
                .with_max_links(settings.max_links)
                .with_address(&own)
                .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        let config = Arc::new(config);
        tokio::spawn(pond_link::accept(listener, config.clone(), events.clone()));
        let mut peers = Peers {
            own_address: own,
            addresses: Addresses::default(),
            dialled: BTreeMap::new(),
            identities: BTreeMap::new(),
            config,
            events,
            log,
        };
        peers.replace_seeds(Millis(0), &settings.seeds);
        peers
    }

    /// Replaces the addresses in the settings, and dials the new ones.
    pub fn replace_seeds(&mut self, now: Millis, seeds: &[String]) {
        self.addresses.replace_seeds(seeds);
        self.add_addresses(now, seeds);
    }

    /// Dials the replicas at those addresses that are not known yet. They count as unreachable from now on,
    /// until a link is up.
    pub fn add_addresses(&mut self, now: Millis, addresses: &[String]) {
        for address in addresses {
            if *address == self.own_address || self.addresses.link(address).is_some() {
                continue;
            }
            let Ok(parsed) = address.parse() else {
                event!(self.log, LINK_REFUSED, "why" => format!("{address} is not a valid address"));
                continue;
            };
            let link = self.addresses.add(now, address);
            let (config, events) = (self.config.clone(), self.events.clone());
            let task = tokio::spawn(pond_link::dial(parsed, link, config, events));
            self.dialled.insert(link, Peer { task, sender: None });
        }
    }

    /// Stops dialling the addresses that have expired. Those for which `is_used` returns true do not expire.
    fn drop_expired(&mut self, now: Millis, is_used: impl Fn(&str) -> bool) {
        for (address, link) in self.addresses.expire(now, is_used) {
            if let Some(peer) = self.dialled.remove(&link) {
                peer.task.abort();
            }
            self.identities.retain(|_, known| *known != address);
            event!(self.log, ADDRESS_EXPIRED, "peer" => address);
        }
    }

    /// Returns the addresses of all known replicas, this one included.
    pub fn known_addresses(&self) -> Vec<String> {
        let others = self.addresses.all().cloned();
        std::iter::once(self.own_address.clone()).chain(others).collect()
    }

    /// Returns since when the link to a replica is down; `None` if it is up.
    pub fn down_since(&self, address: &str) -> Option<Millis> {
        self.addresses.down_since(address)
    }

    /// Sends a message of the quorum to the replica that it names.
    pub fn send(&self, message: Envelope) {
        let link = self.identities.get(&message.to).and_then(|to| self.addresses.link(to));
        let peer = link.and_then(|link| self.dialled.get(&link));
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
                let is_replica = hello.role() == WireRole::Control && !hello.address.is_empty();
                let address = is_replica.then(|| hello.address.clone());
                self.peers.add_addresses(now, address.as_slice());
                if let Some(lead) = &self.announced {
                    sender.send(Body::LeaderInfo(lead.clone()));
                }
                let (name, incarnation) = (hello.name, Incarnation(hello.incarnation));
                let client = Client { name, address, incarnation, sender, presented: None };
                self.clients.insert(link, client);
            }
            EventKind::Up { sender, .. } => {
                let message = self.own_presence();
                sender.send(Body::Quorum(message));
                if let Some(peer) = self.peers.dialled.get_mut(&link) {
                    peer.sender = Some(sender);
                }
                if let Some(address) = self.peers.addresses.record_link(link, None) {
                    event!(self.log, LINK_UP, "peer" => address.to_owned());
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
        let peer = self.peers.dialled.get_mut(&link);
        if peer.and_then(|peer| peer.sender.take()).is_none() {
            return;
        }
        if let Some(address) = self.peers.addresses.record_link(link, Some(now)) {
            event!(self.log, LINK_DOWN, "peer" => address.to_owned(), "why" => error.to_string());
        }
    }

    fn handle_frame(&mut self, now: Millis, link: LinkKey, body: Body) {
        match body {
            Body::Quorum(message) => match message.body {
                Some(Payload::Announce(present)) => self.handle_presence(now, link, present),
                Some(Payload::VoteRequest(_)) if !self.formation.may_vote() => {}
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
        if self.presented_later(link, &member.address) {
            return;
        }
        if let Some(client) = self.clients.get_mut(&link) {
            client.presented = Some((member.address.clone(), member.id));
        }
        self.peers.add_addresses(now, std::slice::from_ref(&member.address));
        self.peers.identities.insert(member.id, member.address.clone());
        // The log is shorter than what the replica has acknowledged: its disk was restored to an
        // older state, and its votes cannot be trusted.
        let acknowledged = self.core.acknowledged(member.id).unwrap_or(0);
        if present.last_index < acknowledged {
            event!(self.log, OLDER_DISK, "replica" => member.address.clone(),
                "has" => present.last_index, "acknowledged" => acknowledged);
            self.formation.record_outdated(member.id);
        }
        self.formation.record(present);
    }

    /// Whether a replica at the address presented itself on a later link. A message on an earlier one was delayed, and
    /// comes from a previous process, whose disk may be gone since.
    fn presented_later(&self, link: LinkKey, address: &str) -> bool {
        let later = self.clients.range((Bound::Excluded(link), Bound::Unbounded));
        let mut presented = later.filter_map(|(_, client)| client.presented.as_ref());
        presented.any(|(other, _)| other == address)
    }

    /// Stops dialling replicas that have been unreachable for long, are no members and are not linked either.
    pub(crate) fn drop_expired_addresses(&mut self, now: Millis) {
        let (members, clients) = (self.core.members(), &self.clients);
        self.peers.drop_expired(now, |address| {
            members.list.iter().any(|member| member.address == address)
                || clients.values().any(|client| client.address.as_deref() == Some(address))
        });
    }

    /// Dials all members, and records their addresses by identity.
    pub(crate) fn connect_to_members(&mut self) {
        let now = self.now();
        for member in &self.core.members().list {
            self.peers.identities.insert(member.id, member.address.clone());
            self.peers.add_addresses(now, std::slice::from_ref(&member.address));
        }
    }
}
