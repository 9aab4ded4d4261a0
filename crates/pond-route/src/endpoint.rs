//! Endpoints and their processes as an entry knows them.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::Micros;
use pond_proto::view;
use pond_proto::wire::Answer;

use crate::health::{Health, Standing};

/// Names an endpoint in the router's table: its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u64);

/// Names an endpoint process in the router's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessKey(pub u32);

/// Weight of a new sample in smoothed times.
const WEIGHT: f64 = 0.05;

/// Offers on the link at most, for each slot.
const ON_LINK_LIMIT: u32 = 8;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its service.
    pub service: String,
    /// The process that leads to it.
    pub process: ProcessKey,
    /// Whether it is in the entry's data centre.
    pub near: bool,
    /// It takes nothing new, by the view.
    pub leaving: bool,
    /// It refused as leaving, whatever the view says.
    pub refused: bool,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Offers of this entry that are open there.
    pub open: u32,
    /// Offers of other entries there, as of its last answer.
    pub others: u32,
    /// When that answer came.
    pub others_at: Micros,
    /// Smoothed time of an offer and its answer on the link, in microseconds.
    pub link_us: f64,
    /// Smoothed time in a slot, in microseconds.
    pub service_us: f64,
    /// Offers that this entry may have open there, as its process last said.
    pub grant: u32,
    /// The evidence on it.
    pub health: Health,
    /// Until when it is taken as full, after a refusal.
    pub full_until: Micros,
}

impl Endpoint {
    fn new(key: EndpointKey, process: ProcessKey) -> Endpoint {
        Endpoint {
            key,
            service: String::new(),
            process,
            near: false,
            leaving: false,
            refused: false,
            slots: 1,
            open: 0,
            others: 0,
            others_at: Micros(0),
            link_us: 0.0,
            service_us: 1000.0,
            grant: 1,
            health: Health::default(),
            full_until: Micros(0),
        }
    }

    /// Whether it may get a request now, its process's link aside.
    pub fn open_to_requests(&self, now: Micros) -> bool {
        if self.leaving || self.refused {
            return false;
        }
        match self.health.standing(now) {
            Standing::Well => true,
            Standing::Ejected => false,
            Standing::Probation => self.open == 0,
        }
    }

    /// Offers there as far as this entry can tell. What others had there is believed for as long
    /// as their requests may still run, so that an entry that hears nothing tries again.
    pub fn taken(&self, now: Micros) -> u32 {
        let fresh = now.since(self.others_at) as f64 <= self.link_us + 2.0 * self.service_us;
        self.open + if fresh { self.others } else { 0 }
    }

    /// Offers that keep its slots busy: one for each slot, and those that are on the link
    /// meanwhile.
    pub fn limit(&self) -> u32 {
        let on_link = f64::from(self.slots) * self.link_us / self.service_us.max(1.0);
        self.slots + (on_link.ceil() as u32).min(self.slots * ON_LINK_LIMIT)
    }

    /// Whether its slots seem to be taken; by what was granted, if that counts.
    pub fn full(&self, now: Micros, granted: bool) -> bool {
        let taken = if granted { self.open >= self.grant } else { self.taken(now) >= self.limit() };
        now < self.full_until || taken
    }

    /// What a request must expect there, in microseconds.
    pub fn cost(&self, now: Micros) -> f64 {
        let ahead = f64::from(self.taken(now)) / f64::from(self.slots);
        self.link_us + self.service_us * (1.0 + ahead)
    }

    /// Takes in an answer that came `latency_us` after its offer.
    pub fn learn(&mut self, now: Micros, latency_us: u64, answer: &Answer) {
        let inside = u64::from(answer.service_us) + u64::from(answer.queue_us);
        let link_us = latency_us.saturating_sub(inside) as f64;
        self.link_us += WEIGHT * (link_us - self.link_us);
        self.service_us += WEIGHT * (f64::from(answer.service_us) - self.service_us);
        self.others = answer.load.saturating_sub(self.open);
        self.others_at = now;
        self.grant = answer.grant;
    }
}

/// One endpoint process.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its address, as `ip:port`.
    pub address: String,
    /// The life on the other side, while the link is up.
    pub life: Option<u64>,
    /// The last life that was seen.
    pub last_life: Option<u64>,
}

/// All endpoints and processes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    services: BTreeMap<String, BTreeSet<EndpointKey>>,
    processes: BTreeMap<ProcessKey, Process>,
    addresses: BTreeMap<String, ProcessKey>,
    next_process: u32,
}

impl Table {
    /// The key of a process, made if it is new.
    pub fn process_at(&mut self, address: &str) -> ProcessKey {
        if let Some(key) = self.addresses.get(address) {
            return *key;
        }
        let key = ProcessKey(self.next_process);
        self.next_process += 1;
        let process = Process { address: address.to_owned(), life: None, last_life: None };
        self.processes.insert(key, process);
        self.addresses.insert(address.to_owned(), key);
        key
    }

    /// Takes in an endpoint of a view.
    pub fn put(&mut self, told: &view::Endpoint, data_centre: &str) {
        let process = self.process_at(&told.process);
        let key = EndpointKey(told.task);
        let endpoint = self.endpoints.entry(key).or_insert_with(|| Endpoint::new(key, process));
        endpoint.service = told.service.clone();
        endpoint.process = process;
        endpoint.near = told.data_centre == data_centre;
        endpoint.leaving = told.leaving;
        endpoint.slots = told.slots.max(1);
        self.services.entry(told.service.clone()).or_default().insert(key);
    }

    /// Forgets an endpoint.
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

    /// Forgets all endpoints but these.
    pub fn keep_only(&mut self, keys: &BTreeSet<EndpointKey>) {
        let gone: Vec<EndpointKey> =
            self.endpoints.keys().filter(|key| !keys.contains(key)).copied().collect();
        gone.into_iter().for_each(|key| self.remove(key));
    }

    /// One endpoint.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&key)
    }

    /// The endpoints of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|key| self.endpoints.get(key))
    }

    /// One process.
    pub fn process(&self, key: ProcessKey) -> Option<&Process> {
        self.processes.get(&key)
    }

    /// One process.
    pub fn process_mut(&mut self, key: ProcessKey) -> Option<&mut Process> {
        self.processes.get_mut(&key)
    }

    /// All processes.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessKey, &Process)> {
        self.processes.iter().map(|(key, process)| (*key, process))
    }

    /// Endpoints reached through a process.
    pub fn behind(&mut self, process: ProcessKey) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut().filter(move |endpoint| endpoint.process == process)
    }
}
