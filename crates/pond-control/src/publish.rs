//! Tells entries and endpoint processes the configuration.

use std::collections::BTreeMap;

use pond_link::{LinkKey, Sender};
use pond_proto::operator::Follower;
use pond_proto::view::Delta;
use pond_proto::wire::{Beat, Body, Hello, Role, ViewAck};
use pond_state::State;

/// One process that is told the configuration.
#[derive(Debug)]
struct Told {
    role: Role,
    name: String,
    address: String,
    sender: Sender,
    /// The version in force there, once it has said so.
    acked: Option<u64>,
    /// The version that was last sent.
    sent: u64,
    /// Leaving endpoints there that run nothing any more.
    quiet: Vec<u64>,
}

/// All linked processes.
#[derive(Debug, Default)]
pub struct Publisher {
    told: BTreeMap<LinkKey, Told>,
    /// Deltas of this round by their first version, so that equal ones are made once.
    made: BTreeMap<u64, Delta>,
}

impl Publisher {
    /// A process is linked.
    pub fn link_up(&mut self, link: LinkKey, hello: &Hello, sender: Sender) {
        let told = Told {
            role: hello.role(),
            name: hello.name.clone(),
            address: hello.address.clone(),
            sender,
            acked: None,
            sent: 0,
            quiet: Vec::new(),
        };
        self.told.insert(link, told);
    }

    /// A link is lost.
    pub fn link_down(&mut self, link: LinkKey) {
        self.told.remove(&link);
    }

    /// A process told which version is in force there.
    pub fn acked(&mut self, link: LinkKey, ack: ViewAck) {
        let Some(told) = self.told.get_mut(&link) else { return };
        // The first one says where the process stands; it also asks for everything with zero.
        if told.acked.is_none() || ack.version == 0 {
            told.sent = ack.version;
        }
        told.acked = Some(ack.version);
        told.quiet = ack.quiet;
    }

    /// Whether the process beside a leaving endpoint runs nothing for it any more; none if that
    /// process is not linked.
    pub fn quiet(&self, address: &str, task: u64) -> Option<bool> {
        let told = self.told.values().find(|told| told.address == address)?;
        Some(told.quiet.contains(&task))
    }

    /// Puts a frame on a link; false if that is not possible now.
    pub fn send(&self, link: LinkKey, body: Body) -> bool {
        self.told.get(&link).is_some_and(|told| told.sender.send(body))
    }

    /// Tells one process who leads.
    pub fn beat_one(&self, link: LinkKey, leader: &str, term: u64) {
        let beat = Beat { leader: leader.to_owned(), term, ..Beat::default() };
        self.send(link, Body::Beat(beat));
    }

    /// Tells everyone who leads.
    pub fn beat(&self, leader: &str, term: u64) {
        for told in self.told.values() {
            let beat = Beat { leader: leader.to_owned(), term, ..Beat::default() };
            told.sender.send(Body::Beat(beat));
        }
    }

    /// Sends to each process what is new since it was last sent something. Only a leader does so.
    pub fn publish(&mut self, state: &State, term: u64) {
        let version = state.version();
        self.made.clear();
        for told in self.told.values_mut() {
            if told.acked.is_none() || told.sent >= version {
                continue;
            }
            let from = told.sent;
            let delta = self.made.entry(from).or_insert_with(|| state.delta(from, term));
            let delta = for_process(delta, told);
            if told.sender.send(Body::View(delta)) {
                told.sent = version;
            }
        }
    }

    /// A new leader sends to everyone anew what they have not acknowledged.
    pub fn restart(&mut self) {
        for told in self.told.values_mut() {
            told.sent = told.acked.unwrap_or(0);
        }
    }

    /// The processes that are told the configuration, with the version in force there.
    pub fn followers(&self) -> Vec<Follower> {
        let follower = |told: &Told| Follower {
            role: match told.role {
                Role::Entry => "entry".to_owned(),
                _ => "endpoint".to_owned(),
            },
            name: told.name.clone(),
            version: told.acked.unwrap_or(0),
        };
        self.told.values().map(follower).collect()
    }
}

/// The part of a delta that concerns a process: an endpoint process needs only its own endpoints.
fn for_process(delta: &Delta, told: &Told) -> Delta {
    if told.role == Role::Entry {
        return delta.clone();
    }
    let own = delta.endpoints.iter().filter(|endpoint| endpoint.process == told.address);
    Delta {
        term: delta.term,
        from: delta.from,
        to: delta.to,
        endpoints: own.cloned().collect(),
        gone: delta.gone.clone(),
        services: Vec::new(),
        gone_services: Vec::new(),
    }
}
