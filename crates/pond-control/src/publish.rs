//! Sends the configuration to entries and endpoint processes.

use std::collections::BTreeMap;

use pond_link::{LinkKey, Sender};
use pond_proto::operator::Follower;
use pond_proto::view::Delta;
use pond_proto::wire::{Body, Heartbeat, Hello, Role, ViewAck};
use pond_state::State;

/// A linked process that receives the configuration.
#[derive(Debug)]
struct Subscriber {
    role: Role,
    name: String,
    address: String,
    sender: Sender,
    /// The version in force there, once the process has reported it.
    acknowledged: Option<u64>,
    /// The version that was last sent.
    sent: u64,
    /// The leaving endpoints there that have no requests left.
    drained_tasks: Vec<u64>,
}

/// The linked processes that receive the configuration.
#[derive(Debug, Default)]
pub struct Publisher {
    subscribers: BTreeMap<LinkKey, Subscriber>,
    /// The deltas of the current round by their first version, so that each is computed only once.
    deltas: BTreeMap<u64, Delta>,
}

impl Publisher {
    /// Adds a process that was linked.
    pub fn link_up(&mut self, link: LinkKey, hello: &Hello, sender: Sender) {
        let subscriber = Subscriber {
            role: hello.role(),
            name: hello.name.clone(),
            address: hello.address.clone(),
            sender,
            acknowledged: None,
            sent: 0,
            drained_tasks: Vec::new(),
        };
        self.subscribers.insert(link, subscriber);
    }

    /// Removes the process of a lost link.
    pub fn link_down(&mut self, link: LinkKey) {
        self.subscribers.remove(&link);
    }

    /// Records which version a process reports as in force.
    pub fn acknowledged(&mut self, link: LinkKey, ack: ViewAck) {
        let Some(subscriber) = self.subscribers.get_mut(&link) else { return };
        // The first acknowledgement gives the initial version of the process; version zero requests
        // the complete configuration.
        if subscriber.acknowledged.is_none() || ack.version == 0 {
            subscriber.sent = ack.version;
        }
        subscriber.acknowledged = Some(ack.version);
        subscriber.drained_tasks = ack.drained;
    }

    /// Returns whether a leaving endpoint has no requests left in the process at `address`, or
    /// `None` if that process is not linked.
    pub fn is_drained(&self, address: &str, task: u64) -> Option<bool> {
        let subscriber =
            self.subscribers.values().find(|subscriber| subscriber.address == address)?;
        Some(subscriber.drained_tasks.contains(&task))
    }

    /// Sends a frame on a link; returns false if that is not possible now.
    pub fn send(&self, link: LinkKey, body: Body) -> bool {
        self.subscribers.get(&link).is_some_and(|subscriber| subscriber.sender.send(body))
    }

    /// Sends a heartbeat with the current leader to one process.
    pub fn send_heartbeat(&self, link: LinkKey, leader: &str, term: u64) {
        let heartbeat = Heartbeat { leader: leader.to_owned(), term, ..Heartbeat::default() };
        self.send(link, Body::Heartbeat(heartbeat));
    }

    /// Sends a heartbeat with the current leader to all processes.
    pub fn broadcast_heartbeat(&self, leader: &str, term: u64) {
        for subscriber in self.subscribers.values() {
            let heartbeat = Heartbeat { leader: leader.to_owned(), term, ..Heartbeat::default() };
            subscriber.sender.send(Body::Heartbeat(heartbeat));
        }
    }

    /// Sends each process the changes since the version that was last sent to it. Only a leader
    /// calls this.
    pub fn publish(&mut self, state: &State, term: u64) {
        let version = state.version();
        self.deltas.clear();
        for subscriber in self.subscribers.values_mut() {
            if subscriber.acknowledged.is_none() || subscriber.sent >= version {
                continue;
            }
            let from = subscriber.sent;
            let delta = self.deltas.entry(from).or_insert_with(|| state.delta(from, term));
            let delta = for_process(delta, subscriber);
            if subscriber.sender.send(Body::View(delta)) {
                subscriber.sent = version;
            }
        }
    }

    /// Resets the sent versions to the acknowledged ones, so that a new leader resends the rest.
    pub fn reset_to_acknowledged(&mut self) {
        for subscriber in self.subscribers.values_mut() {
            subscriber.sent = subscriber.acknowledged.unwrap_or(0);
        }
    }

    /// Returns the processes that receive the configuration, with the version in force there.
    pub fn followers(&self) -> Vec<Follower> {
        let follower = |subscriber: &Subscriber| Follower {
            role: match subscriber.role {
                Role::Entry => "entry".to_owned(),
                _ => "endpoint".to_owned(),
            },
            name: subscriber.name.clone(),
            version: subscriber.acknowledged.unwrap_or(0),
        };
        self.subscribers.values().map(follower).collect()
    }
}

/// Returns the part of a delta that concerns a process. An endpoint process needs only its own
/// endpoints.
fn for_process(delta: &Delta, subscriber: &Subscriber) -> Delta {
    if subscriber.role == Role::Entry {
        return delta.clone();
    }
    let own = delta.endpoints.iter().filter(|endpoint| endpoint.process == subscriber.address);
    Delta {
        term: delta.term,
        from: delta.from,
        to: delta.to,
        endpoints: own.cloned().collect(),
        removed: delta.removed.clone(),
        services: Vec::new(),
        removed_services: Vec::new(),
    }
}
