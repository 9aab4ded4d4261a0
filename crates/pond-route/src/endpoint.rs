//! An entry's table of endpoints and endpoint processes.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::Micros;
use pond_proto::view;
use pond_proto::wire::Answer;

use crate::health::{Health, Status};

/// Identifies an endpoint in the router's table, by its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u64);

/// Identifies an endpoint process in the router's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessKey(pub u32);

/// Weight of a new sample in moving averages of times.
const WEIGHT: f64 = 0.05;

/// Maximum number of offers in transit on the link for each slot.
const MAX_IN_TRANSIT_PER_SLOT: u32 = 8;

/// An endpoint as seen by one entry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Key in the table.
    pub key: EndpointKey,
    /// Name of the service.
    pub service: String,
    /// The endpoint process that forwards requests to it.
    pub process: ProcessKey,
    /// Whether it is in the entry's data centre.
    pub local: bool,
    /// Whether the configuration says that it takes no new requests.
    pub leaving: bool,
    /// Whether its process has said that it takes no new requests, whatever the configuration says.
    pub reported_leaving: bool,
    /// Number of requests it runs at a time.
    pub slots: u32,
    /// Number of open offers of this entry.
    pub open_offers: u32,
    /// Number of offers of other entries, as of its last answer.
    pub other_offers: u32,
    /// Time of that answer.
    pub other_offers_at: Micros,
    /// Moving average of the round-trip time on the link, in microseconds.
    pub link_us: f64,
    /// Moving average of the service time in a slot, in microseconds.
    pub service_us: f64,
    /// Number of offers that this entry may have open, as last granted by the process.
    pub grant: u32,
    /// Consecutive results and ejections.
    pub health: Health,
    /// Time until which it counts as full after a refusal.
    pub full_until: Micros,
}

impl Endpoint {
    fn new(key: EndpointKey, process: ProcessKey) -> Endpoint {
        Endpoint {
            key,
            service: String::new(),
            process,
            local: false,
            leaving: false,
            reported_leaving: false,
            slots: 1,
            open_offers: 0,
            other_offers: 0,
            other_offers_at: Micros(0),
            link_us: 0.0,
            service_us: 1000.0,
            grant: 1,
            health: Health::default(),
            full_until: Micros(0),
        }
    }

    /// Returns whether the endpoint may get a request now. Does not consider the link to its process.
    pub fn accepts_requests(&self, now: Micros) -> bool {
        if self.leaving || self.reported_leaving {
            return false;
        }
        match self.health.status(now) {
            Status::Healthy => true,
            Status::Ejected => false,
            Status::Probation => self.open_offers == 0,
        }
    }

    /// Returns the number of offers at the endpoint, as far as this entry knows. The last known
    /// number of other entries' offers counts only while those may still run, so that an entry that
    /// gets no updates tries the endpoint again.
    pub fn load(&self, now: Micros) -> u32 {
        let fresh = now.since(self.other_offers_at) as f64 <= self.link_us + 2.0 * self.service_us;
        self.open_offers + if fresh { self.other_offers } else { 0 }
    }

    /// Returns the number of offers that keeps all slots busy: one for each slot, plus those in
    /// transit on the link meanwhile.
    pub fn max_offers(&self) -> u32 {
        let in_transit = f64::from(self.slots) * self.link_us / self.service_us.max(1.0);
        self.slots + (in_transit.ceil() as u32).min(self.slots * MAX_IN_TRANSIT_PER_SLOT)
    }

    /// Returns whether all slots seem to be taken. If `granted`, the granted number decides, otherwise
    /// the estimated load.
    pub fn is_full(&self, now: Micros, granted: bool) -> bool {
        let taken = if granted {
            self.open_offers >= self.grant
        } else {
            self.load(now) >= self.max_offers()
        };
        now < self.full_until || taken
    }

    /// Returns the expected latency of a request, in microseconds.
    pub fn cost(&self, now: Micros) -> f64 {
        let ahead = f64::from(self.load(now)) / f64::from(self.slots);
        self.link_us + self.service_us * (1.0 + ahead)
    }

    /// Updates the averages, load and grant from an answer that came `latency_us` after its offer.
    pub fn record_answer(&mut self, now: Micros, latency_us: u64, answer: &Answer) {
        let inside = u64::from(answer.service_us) + u64::from(answer.queue_us);
        let link_us = latency_us.saturating_sub(inside) as f64;
        self.link_us += WEIGHT * (link_us - self.link_us);
        self.service_us += WEIGHT * (f64::from(answer.service_us) - self.service_us);
        self.other_offers = answer.load.saturating_sub(self.open_offers);
        self.other_offers_at = now;
        self.grant = answer.grant;
    }
}

/// One endpoint process.
#[derive(Clone, Debug)]
pub struct Process {
    /// Address, as `ip:port`.
    pub address: String,
    /// Incarnation of the process, while the link is up.
    pub incarnation: Option<u64>,
    /// Incarnation of the process when the link was last up.
    pub last_incarnation: Option<u64>,
}

/// The endpoints and endpoint processes of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    services: BTreeMap<String, BTreeSet<EndpointKey>>,
    processes: BTreeMap<ProcessKey, Process>,
    addresses: BTreeMap<String, ProcessKey>,
    next_process: u32,
}

impl Table {
    /// Returns the key of the process at `address`; adds the process if it is new.
    pub fn process_key(&mut self, address: &str) -> ProcessKey {
        if let Some(key) = self.addresses.get(address) {
            return *key;
        }
        let key = ProcessKey(self.next_process);
        self.next_process += 1;
        let process =
            Process { address: address.to_owned(), incarnation: None, last_incarnation: None };
        self.processes.insert(key, process);
        self.addresses.insert(address.to_owned(), key);
        key
    }

    /// Adds or updates an endpoint from the configuration.
    pub fn insert(&mut self, update: &view::Endpoint, data_centre: &str) {
        let process = self.process_key(&update.process);
        let key = EndpointKey(update.task);
        let endpoint = self.endpoints.entry(key).or_insert_with(|| Endpoint::new(key, process));
        endpoint.service = update.service.clone();
        endpoint.process = process;
        endpoint.local = update.data_centre == data_centre;
        endpoint.leaving = update.leaving;
        endpoint.slots = update.slots.max(1);
        self.services.entry(update.service.clone()).or_default().insert(key);
    }

    /// Removes an endpoint, and its process if no other endpoint uses it.
    pub fn remove(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(&key) else { return };
        if let Some(keys) = self.services.get_mut(&endpoint.service) {
            keys.remove(&key);
        }
        let used = self.endpoints.values().any(|other| other.process == endpoint.process);
        if !used && let Some(process) = self.processes.remove(&endpoint.process) {
            self.addresses.remove(&process.address);
        }
    }

    /// Removes all endpoints except `keys`.
    pub fn retain_only(&mut self, keys: &BTreeSet<EndpointKey>) {
        let removed: Vec<EndpointKey> =
            self.endpoints.keys().filter(|key| !keys.contains(key)).copied().collect();
        removed.into_iter().for_each(|key| self.remove(key));
    }

    /// Returns an endpoint.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&key)
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|key| self.endpoints.get(key))
    }

    /// Returns an endpoint process.
    pub fn process(&self, key: ProcessKey) -> Option<&Process> {
        self.processes.get(&key)
    }

    /// Returns an endpoint process for changes.
    pub fn process_mut(&mut self, key: ProcessKey) -> Option<&mut Process> {
        self.processes.get_mut(&key)
    }

    /// Iterates over all endpoint processes.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessKey, &Process)> {
        self.processes.iter().map(|(key, process)| (*key, process))
    }

    /// Iterates over the endpoints of a process.
    pub fn of_process(&mut self, process: ProcessKey) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut().filter(move |endpoint| endpoint.process == process)
    }
}
