//! The path of requests in virtual time: routers, admissions, and endpoints that are numbers.
//!
//! Entries and endpoint processes are the real cores; links are queues with a delay that can be
//! cut, and endpoints answer after a time that a test sets. The same path serves the fault tables
//! and the comparison of routing policies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use pond_proto::view;
use pond_proto::wire::{Body, ClaimReply, Content, OfferId, RequestId, Verdict};
use pond_proto::{Micros, Outcome};
use pond_route::{
    Admission, AdmissionOutput, Finish, Output, ProcessKey, Request, Router, Run, Tuning,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The service that all endpoints belong to.
pub const SERVICE: &str = "service";

/// Time between ticks of the cores, in microseconds.
const TICK_US: u64 = 1000;

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after about this many microseconds, exponentially spread.
    Serve(u64),
    /// Answers after exactly this many microseconds.
    Exactly(u64),
    /// Answers with status 500 after this many microseconds.
    Fail(u64),
    /// Cannot be connected to.
    Unreachable,
    /// Takes requests and never answers.
    Silent,
    /// Breaks the answer off after this many microseconds.
    Break(u64),
}

/// What a caller was told, and when.
#[derive(Clone, Debug)]
pub struct Told {
    /// When it asked.
    pub asked: Micros,
    /// When it was told.
    pub at: Micros,
    /// What.
    pub finish: Finish,
}

/// Something that will happen.
#[derive(Debug, PartialEq)]
enum Happening {
    /// A frame reaches an entry.
    ToEntry { entry: usize, process: usize, epoch: u64, body: Body },
    /// A frame reaches an endpoint process.
    ToProcess { process: usize, entry: usize, epoch: u64, body: Body },
    /// An endpoint has answered.
    Done { process: usize, life: u64, offer: OfferId, behaviour: Behaviour },
    /// A link is made again.
    Relink { entry: usize, process: usize },
    /// The time for the next ticks.
    Tick,
}

#[derive(Debug, PartialEq)]
struct Event {
    at: u64,
    number: u64,
    what: Happening,
}

impl Eq for Event {}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// One endpoint process with one endpoint behind it.
struct Place {
    admission: Admission,
    life: u64,
    behaviour: Behaviour,
    alive: bool,
}

/// A link between an entry and a process; the epoch counts how often it was made.
#[derive(Clone, Copy, Default)]
struct Link {
    epoch: u64,
    up: bool,
}

/// Entries, endpoint processes and endpoints in virtual time.
pub struct Path {
    now: u64,
    events: BinaryHeap<Reverse<Event>>,
    next_event: u64,
    entries: Vec<Router>,
    places: Vec<Place>,
    links: BTreeMap<(usize, usize), Link>,
    keys: HashMap<(usize, ProcessKey), usize>,
    rng: SmallRng,
    delay_us: u64,
    next_number: u64,
    asked: HashMap<RequestId, (usize, Micros)>,
    claims: BTreeMap<String, RequestId>,
    /// What callers were told.
    pub told: BTreeMap<RequestId, Told>,
    /// How often each request was started at an endpoint.
    pub runs: BTreeMap<RequestId, u32>,
    /// Starts at each endpoint.
    pub starts: Vec<u32>,
    /// Offers that entries made.
    pub offers: u64,
    /// Whether control answers claims.
    pub quorum: bool,
}

impl Path {
    /// `entries` entries and `endpoints` endpoints with `slots` slots each, all linked.
    pub fn new(entries: usize, endpoints: usize, slots: u32, tuning: Tuning, seed: u64) -> Path {
        let routers = (0..entries).map(|i| Router::new("near", tuning, seed + i as u64)).collect();
        let place = |i: usize| Place {
            admission: Admission::new(&address(i)),
            life: 1,
            behaviour: Behaviour::Serve(1000),
            alive: true,
        };
        let mut path = Path {
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            entries: routers,
            places: (0..endpoints).map(place).collect(),
            links: BTreeMap::new(),
            keys: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            delay_us: 50,
            next_number: 0,
            asked: HashMap::new(),
            claims: BTreeMap::new(),
            told: BTreeMap::new(),
            runs: BTreeMap::new(),
            starts: vec![0; endpoints],
            offers: 0,
            quorum: true,
        };
        path.put_view(1, slots, |_| false, |_| "near");
        path.schedule(TICK_US, Happening::Tick);
        path.run_for(5 * TICK_US);
        path
    }

    /// Sets the delay of links, in microseconds.
    pub fn with_delay(mut self, us: u64) -> Path {
        self.delay_us = us;
        self
    }

    /// Puts a whole view in force at all entries and processes.
    pub fn put_view(
        &mut self,
        version: u64,
        slots: u32,
        leaving: impl Fn(usize) -> bool,
        centre: impl Fn(usize) -> &'static str,
    ) {
        let endpoints = (0..self.places.len()).map(|i| view::Endpoint {
            task: i as u64 + 1,
            service: SERVICE.to_owned(),
            process: address(i),
            address: address(i),
            data_centre: centre(i).to_owned(),
            leaving: leaving(i),
            slots,
            connections: 64,
        });
        let service = view::Service {
            name: SERVICE.to_owned(),
            concurrency: 100_000,
            team: "team".to_owned(),
            priority: 0,
            rate: 0,
        };
        let delta = view::Delta {
            term: 1,
            from: 0,
            to: version,
            endpoints: endpoints.collect(),
            services: vec![service],
            ..view::Delta::default()
        };
        let now = Micros(self.now);
        for i in 0..self.entries.len() {
            self.entries[i].apply_view(now, delta.clone());
        }
        for i in 0..self.places.len() {
            self.places[i].admission.apply_view(now, delta.clone());
        }
        self.carry_out();
    }

    /// Limits the rate of the service at all entries.
    pub fn limit(&mut self, version: u64, rate: u32) {
        self.put_service(version, rate, 0);
    }

    /// Sets the priority of the service at all entries.
    pub fn prioritise(&mut self, version: u64, priority: i32) {
        self.put_service(version, 0, priority);
    }

    fn put_service(&mut self, version: u64, rate: u32, priority: i32) {
        let service = view::Service {
            name: SERVICE.to_owned(),
            concurrency: 100_000,
            team: "team".to_owned(),
            priority,
            rate,
        };
        let delta = view::Delta {
            term: 1,
            from: version - 1,
            to: version,
            services: vec![service],
            ..view::Delta::default()
        };
        let now = Micros(self.now);
        for router in &mut self.entries {
            router.apply_view(now, delta.clone());
        }
    }

    /// Sets how an endpoint behaves from now on.
    pub fn behave(&mut self, endpoint: usize, behaviour: Behaviour) {
        self.places[endpoint].behaviour = behaviour;
    }

    /// The admission of an endpoint's process.
    pub fn admission(&mut self, process: usize) -> &mut Admission {
        &mut self.places[process].admission
    }

    /// The router of an entry.
    pub fn router(&mut self, entry: usize) -> &mut Router {
        &mut self.entries[entry]
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        Micros(self.now)
    }

    /// A caller asks; the identity of its request.
    pub fn ask(
        &mut self,
        entry: usize,
        repeatable: bool,
        key: &str,
        deadline_ms: u64,
    ) -> RequestId {
        self.next_number += 1;
        let id = RequestId { incarnation: entry as u64 + 100, number: self.next_number };
        let now = Micros(self.now);
        let content = Content {
            service: SERVICE.to_owned(),
            content_type: String::new(),
            key: key.to_owned(),
            body: id.number.to_be_bytes().to_vec(),
        };
        self.asked.insert(id, (entry, now));
        let deadline = now.plus_ms(deadline_ms);
        self.entries[entry].request(now, Request { id, content, repeatable, deadline });
        self.carry_out();
        id
    }

    /// What the caller of a request was told; none while it waits.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        self.told.get(&id).map(|told| told.finish.outcome())
    }

    /// Cuts the link between an entry and a process; it is made again after `wait` microseconds.
    pub fn cut(&mut self, entry: usize, process: usize, wait: u64) {
        let link = self.links.entry((entry, process)).or_default();
        if !link.up {
            return;
        }
        link.up = false;
        let epoch = link.epoch;
        let now = Micros(self.now);
        if let Some(key) = self.key_of(entry, process) {
            self.entries[entry].link_down(now, key);
        }
        self.places[process].admission.link_down(link_id(entry, epoch));
        self.schedule(wait, Happening::Relink { entry, process });
        self.carry_out();
    }

    /// Cuts a link so that only the entry notices; the process still reads what was sent before.
    pub fn cut_at_entry(&mut self, entry: usize, process: usize, wait: u64) {
        let link = self.links.entry((entry, process)).or_default();
        link.up = false;
        let now = Micros(self.now);
        if let Some(key) = self.key_of(entry, process) {
            self.entries[entry].link_down(now, key);
        }
        self.schedule(wait, Happening::Relink { entry, process });
        self.carry_out();
    }

    /// Kills an endpoint process; it starts again as another life after `wait` microseconds.
    pub fn kill(&mut self, process: usize, wait: u64) {
        self.places[process].alive = false;
        for entry in 0..self.entries.len() {
            self.cut(entry, process, wait);
        }
        let place = &mut self.places[process];
        place.life += 1;
        place.admission = Admission::new(&address(process));
        place.alive = true;
    }

    /// Puts a frame to an entry as if it came from a process on the link as it is.
    pub fn inject(&mut self, entry: usize, process: usize, body: Body) {
        let epoch = self.links.get(&(entry, process)).map_or(0, |link| link.epoch);
        self.schedule(0, Happening::ToEntry { entry, process, epoch, body });
    }

    /// Lets time pass, in microseconds.
    pub fn run_for(&mut self, us: u64) {
        let until = self.now + us;
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = event.at;
            self.happen(event.what);
            self.carry_out();
        }
        self.now = until;
    }

    /// Callers ask at random times, `rate` a second together, for `us` microseconds.
    pub fn load(&mut self, rate: f64, us: u64, repeatable: bool, deadline_ms: u64) {
        let until = self.now + us;
        let mut entry = 0;
        loop {
            let pause = -self.rng.random::<f64>().max(1e-12).ln() / rate * 1e6;
            if self.now + pause as u64 >= until {
                self.run_for(until - self.now);
                return;
            }
            self.run_for(pause as u64);
            entry = (entry + 1) % self.entries.len();
            self.ask(entry, repeatable, "", deadline_ms);
        }
    }

    /// Latencies of the answers to requests asked since `since`, in order, in microseconds.
    pub fn latencies(&self, since: Micros) -> Vec<u64> {
        let answered = self.told.values().filter(|told| {
            told.asked >= since && matches!(&told.finish, Finish::Answered(a) if a.status < 500)
        });
        let mut all: Vec<u64> = answered.map(|told| told.at.since(told.asked)).collect();
        all.sort_unstable();
        all
    }

    fn key_of(&self, entry: usize, process: usize) -> Option<ProcessKey> {
        let found = self.keys.iter().find(|((e, _), p)| *e == entry && **p == process);
        found.map(|((_, key), _)| *key)
    }

    fn schedule(&mut self, after: u64, what: Happening) {
        self.next_event += 1;
        let event = Event { at: self.now + after, number: self.next_event, what };
        self.events.push(Reverse(event));
    }

    fn happen(&mut self, what: Happening) {
        let now = Micros(self.now);
        match what {
            Happening::Tick => {
                self.entries.iter_mut().for_each(|router| router.tick(now));
                self.places.iter_mut().for_each(|place| place.admission.tick(now));
                self.schedule(TICK_US, Happening::Tick);
            }
            Happening::Relink { entry, process } => self.relink(entry, process),
            Happening::ToEntry { entry, process, epoch, body } => {
                let link = self.links.get(&(entry, process)).copied().unwrap_or_default();
                if link.up && link.epoch == epoch {
                    self.reach_entry(entry, process, body);
                }
            }
            Happening::ToProcess { process, entry, epoch, body } => {
                let link = link_id(entry, epoch);
                let admission = &mut self.places[process].admission;
                match body {
                    Body::Offer(offer) => admission.offer(now, link, offer),
                    Body::Revoke(offer) => admission.revoke(link, offer),
                    Body::FateRequest(ask) => admission.report_fates(link, ask),
                    _ => {}
                }
            }
            Happening::Done { process, life, offer, behaviour } => {
                let place = &mut self.places[process];
                if place.life != life {
                    return;
                }
                let body = offer.id.number.to_be_bytes().to_vec();
                match behaviour {
                    Behaviour::Fail(_) => {
                        place.admission.answered(now, offer, 500, String::new(), body);
                    }
                    Behaviour::Unreachable => place.admission.unreachable(now, offer),
                    Behaviour::Break(_) => place.admission.answer_lost(now, offer),
                    _ => place.admission.answered(now, offer, 200, String::new(), body),
                }
            }
        }
    }

    fn relink(&mut self, entry: usize, process: usize) {
        let link = self.links.entry((entry, process)).or_default();
        link.epoch += 1;
        link.up = true;
        let epoch = link.epoch;
        let (now, life) = (Micros(self.now), self.places[process].life);
        self.places[process].admission.link_up(link_id(entry, epoch), entry as u64 + 100);
        if let Some(key) = self.key_of(entry, process) {
            self.entries[entry].link_up(now, key, life);
        }
    }

    fn reach_entry(&mut self, entry: usize, process: usize, body: Body) {
        let now = Micros(self.now);
        let Some(key) = self.key_of(entry, process) else { return };
        let router = &mut self.entries[entry];
        match body {
            Body::Refused(refuse) => router.offer_refused(now, key, refuse),
            Body::Answer(answer) => router.answered(now, key, answer),
            Body::AnswerLost(broken) => router.answer_lost(now, key, broken.offer),
            Body::FateReply(tell) => router.fate_reported(now, key, tell),
            Body::Leave(leave) => router.endpoint_leaving(key, leave.task),
            _ => {}
        }
    }

    fn carry_out(&mut self) {
        loop {
            let mut quiet = true;
            for entry in 0..self.entries.len() {
                for output in self.entries[entry].take_outputs() {
                    quiet = false;
                    self.entry_output(entry, output);
                }
            }
            for process in 0..self.places.len() {
                for output in self.places[process].admission.take_outputs() {
                    quiet = false;
                    self.process_output(process, output);
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn entry_output(&mut self, entry: usize, output: Output) {
        let now = Micros(self.now);
        match output {
            Output::Offer { process, offer } => {
                let name = OfferId { id: offer.id, attempt: offer.attempt };
                self.offers += 1;
                if !self.send(entry, process, Body::Offer(offer)) {
                    self.entries[entry].offer_not_sent(now, name);
                }
            }
            Output::Revoke { process, offer } => {
                self.send(entry, process, Body::Revoke(offer));
            }
            Output::AskFate { process, offers } => {
                let ask = pond_proto::wire::FateRequest { offers };
                self.send(entry, process, Body::FateRequest(ask));
            }
            Output::Claim(ask) => {
                if !self.quorum {
                    return self.entries[entry].claim_failed(now, ask.ticket);
                }
                let holder = *self.claims.entry(ask.key).or_insert(ask.id);
                let verdict = if holder == ask.id { Verdict::Granted } else { Verdict::Held };
                let tell = ClaimReply { ticket: ask.ticket, verdict: verdict as i32, answer: None };
                self.entries[entry].claim_decided(now, tell);
            }
            Output::EndClaim(end) => {
                if end.not_run && self.claims.get(&end.key) == Some(&end.id) {
                    self.claims.remove(&end.key);
                }
            }
            Output::Finish { id, finish } => {
                if let Some((_, asked)) = self.asked.remove(&id) {
                    self.told.insert(id, Told { asked, at: now, finish });
                }
            }
            Output::Connect { process, address } => {
                let place: usize = address.parse().unwrap_or(0);
                self.keys.insert((entry, process), place);
                self.relink(entry, place);
            }
            Output::Disconnect { .. } => {}
        }
    }

    fn send(&mut self, entry: usize, process: ProcessKey, body: Body) -> bool {
        let Some(place) = self.keys.get(&(entry, process)).copied() else { return false };
        let link = self.links.get(&(entry, place)).copied().unwrap_or_default();
        if link.up {
            let happening = Happening::ToProcess { process: place, entry, epoch: link.epoch, body };
            self.schedule(self.delay_us, happening);
        }
        link.up
    }

    fn process_output(&mut self, process: usize, output: AdmissionOutput) {
        match output {
            AdmissionOutput::Send { link, body } => {
                let (entry, epoch) = ((link >> 32) as usize, link & 0xffff_ffff);
                let happening = Happening::ToEntry { entry, process, epoch, body };
                self.schedule(self.delay_us, happening);
            }
            AdmissionOutput::Run(run) => self.start(process, &run),
        }
    }

    fn start(&mut self, process: usize, run: &Run) {
        let behaviour = self.places[process].behaviour;
        let life = self.places[process].life;
        if behaviour != Behaviour::Unreachable {
            *self.runs.entry(run.offer.id).or_default() += 1;
            self.starts[process] += 1;
        }
        let after = match behaviour {
            Behaviour::Serve(mean) => {
                (-self.rng.random::<f64>().max(1e-12).ln() * mean as f64) as u64
            }
            Behaviour::Exactly(us) | Behaviour::Fail(us) | Behaviour::Break(us) => us,
            Behaviour::Unreachable => 0,
            Behaviour::Silent => return,
        };
        let offer = run.offer;
        self.schedule(after, Happening::Done { process, life, offer, behaviour });
    }
}

/// The address of a process is its number.
fn address(process: usize) -> String {
    process.to_string()
}

/// The name of a link at a process: the entry and how often the link was made.
fn link_id(entry: usize, epoch: u64) -> u64 {
    ((entry as u64) << 32) | epoch
}
