//! A simulation, in virtual time, of the path of requests from entries to endpoints.
//!
//! The cores of entries and endpoint processes are the production code. Links are queues with a
//! delay and can be cut, and endpoints answer after a time that the test sets. The fault tests and the
//! comparison of routing policies use the same simulation.

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

/// Name of the service that all endpoints belong to.
pub const SERVICE: &str = "service";

/// Interval between ticks of the cores, in microseconds.
const TICK_US: u64 = 1000;

/// Behaviour of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after an exponentially distributed time with this mean, in microseconds.
    Serve(u64),
    /// Answers after exactly this time, in microseconds.
    Exactly(u64),
    /// Answers with status 500 after this time, in microseconds.
    Fail(u64),
    /// Refuses connections.
    Unreachable,
    /// Accepts requests and never answers.
    Silent,
    /// Aborts the answer after this time, in microseconds.
    Break(u64),
}

/// Reply to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Time of the request.
    pub requested_at: Micros,
    /// Time of the reply.
    pub at: Micros,
    /// Result of the request.
    pub finish: Finish,
}

/// Kind of a scheduled event.
#[derive(Debug, PartialEq)]
enum EventKind {
    /// A frame arrives at an entry.
    FrameToEntry { entry: usize, process: usize, epoch: u64, body: Body },
    /// A frame arrives at an endpoint process.
    FrameToProcess { process: usize, entry: usize, epoch: u64, body: Body },
    /// An endpoint ends a request.
    Done { process: usize, incarnation: u64, offer: OfferId, behaviour: Behaviour },
    /// A link is established again.
    Relink { entry: usize, process: usize },
    /// The cores tick.
    Tick,
}

#[derive(Debug, PartialEq)]
struct Event {
    at: u64,
    number: u64,
    kind: EventKind,
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

/// Endpoint process with one endpoint.
struct Process {
    admission: Admission,
    incarnation: u64,
    behaviour: Behaviour,
    alive: bool,
}

/// Link between an entry and a process. The epoch counts how often it was established.
#[derive(Clone, Copy, Default)]
struct Link {
    epoch: u64,
    up: bool,
}

/// Simulation of entries, endpoint processes and endpoints.
pub struct RequestPath {
    now: u64,
    events: BinaryHeap<Reverse<Event>>,
    next_event: u64,
    entries: Vec<Router>,
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), Link>,
    indexes: HashMap<(usize, ProcessKey), usize>,
    rng: SmallRng,
    delay_us: u64,
    next_number: u64,
    open_requests: HashMap<RequestId, (usize, Micros)>,
    claims: BTreeMap<String, RequestId>,
    /// Replies to callers.
    pub replies: BTreeMap<RequestId, Reply>,
    /// Number of starts of each request at endpoints.
    pub runs: BTreeMap<RequestId, u32>,
    /// Number of starts at each endpoint.
    pub starts: Vec<u32>,
    /// Number of offers that entries made.
    pub offers: u64,
    /// Whether control can answer claims.
    pub control_available: bool,
}

impl RequestPath {
    /// Creates `entries` entries and `endpoints` endpoints with `slots` slots each, all linked.
    pub fn new(
        entries: usize,
        endpoints: usize,
        slots: u32,
        tuning: Tuning,
        seed: u64,
    ) -> RequestPath {
        let routers = (0..entries).map(|i| Router::new("near", tuning, seed + i as u64)).collect();
        let process = |i: usize| Process {
            admission: Admission::new(&address(i)),
            incarnation: 1,
            behaviour: Behaviour::Serve(1000),
            alive: true,
        };
        let mut path = RequestPath {
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            entries: routers,
            processes: (0..endpoints).map(process).collect(),
            links: BTreeMap::new(),
            indexes: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            delay_us: 50,
            next_number: 0,
            open_requests: HashMap::new(),
            claims: BTreeMap::new(),
            replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            starts: vec![0; endpoints],
            offers: 0,
            control_available: true,
        };
        path.publish_view(1, slots, |_| false, |_| "near");
        path.schedule(TICK_US, EventKind::Tick);
        path.run_for(5 * TICK_US);
        path
    }

    /// Sets the delay of links, in microseconds.
    pub fn with_delay(mut self, us: u64) -> RequestPath {
        self.delay_us = us;
        self
    }

    /// Publishes a complete view to all entries and processes.
    pub fn publish_view(
        &mut self,
        version: u64,
        slots: u32,
        leaving: impl Fn(usize) -> bool,
        centre: impl Fn(usize) -> &'static str,
    ) {
        let endpoints = (0..self.processes.len()).map(|i| view::Endpoint {
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
        for i in 0..self.processes.len() {
            self.processes[i].admission.apply_view(now, delta.clone());
        }
        self.handle_outputs();
    }

    /// Sets the rate limit of the service at all entries, in requests per second.
    pub fn set_rate(&mut self, version: u64, rate: u32) {
        self.put_service(version, rate, 0);
    }

    /// Sets the priority of the service at all entries.
    pub fn set_priority(&mut self, version: u64, priority: i32) {
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

    /// Sets the behaviour of an endpoint for requests that start from now on.
    pub fn set_behaviour(&mut self, endpoint: usize, behaviour: Behaviour) {
        self.processes[endpoint].behaviour = behaviour;
    }

    /// Returns the admission core of an endpoint process.
    pub fn admission(&mut self, process: usize) -> &mut Admission {
        &mut self.processes[process].admission
    }

    /// Returns the router core of an entry.
    pub fn router(&mut self, entry: usize) -> &mut Router {
        &mut self.entries[entry]
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Micros {
        Micros(self.now)
    }

    /// Sends a request from a caller to an entry and returns its identifier.
    pub fn request(
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
        self.open_requests.insert(id, (entry, now));
        let deadline = now.plus_ms(deadline_ms);
        self.entries[entry].request(now, Request { id, content, repeatable, deadline });
        self.handle_outputs();
        id
    }

    /// Returns the outcome reported to the caller of a request, or none while it waits.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        self.replies.get(&id).map(|reply| reply.finish.outcome())
    }

    /// Cuts the link between an entry and a process for `wait` microseconds.
    pub fn cut_link(&mut self, entry: usize, process: usize, wait: u64) {
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
        self.processes[process].admission.link_down(link_id(entry, epoch));
        self.schedule(wait, EventKind::Relink { entry, process });
        self.handle_outputs();
    }

    /// Cuts a link for `wait` microseconds so that only the entry notices. The process still receives
    /// frames that were sent before.
    pub fn cut_link_at_entry(&mut self, entry: usize, process: usize, wait: u64) {
        let link = self.links.entry((entry, process)).or_default();
        link.up = false;
        let now = Micros(self.now);
        if let Some(key) = self.key_of(entry, process) {
            self.entries[entry].link_down(now, key);
        }
        self.schedule(wait, EventKind::Relink { entry, process });
        self.handle_outputs();
    }

    /// Kills an endpoint process, which restarts as a new incarnation. Its links are established again
    /// after `wait` microseconds.
    pub fn kill(&mut self, process: usize, wait: u64) {
        self.processes[process].alive = false;
        for entry in 0..self.entries.len() {
            self.cut_link(entry, process, wait);
        }
        let state = &mut self.processes[process];
        state.incarnation += 1;
        state.admission = Admission::new(&address(process));
        state.alive = true;
    }

    /// Delivers a frame to an entry as if a process had sent it on the current link.
    pub fn inject(&mut self, entry: usize, process: usize, body: Body) {
        let epoch = self.links.get(&(entry, process)).map_or(0, |link| link.epoch);
        self.schedule(0, EventKind::FrameToEntry { entry, process, epoch, body });
    }

    /// Advances the simulation by `us` microseconds.
    pub fn run_for(&mut self, us: u64) {
        let until = self.now + us;
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = event.at;
            self.handle(event.kind);
            self.handle_outputs();
        }
        self.now = until;
    }

    /// Runs for `us` microseconds with Poisson arrivals of `rate` requests per second in total.
    pub fn run_load(&mut self, rate: f64, us: u64, repeatable: bool, deadline_ms: u64) {
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
            self.request(entry, repeatable, "", deadline_ms);
        }
    }

    /// Returns the sorted latencies, in microseconds, of successful requests sent at or after `since`.
    pub fn latencies(&self, since: Micros) -> Vec<u64> {
        let answered = self.replies.values().filter(|reply| {
            reply.requested_at >= since
                && matches!(&reply.finish, Finish::Answered(a) if a.status < 500)
        });
        let mut all: Vec<u64> = answered.map(|reply| reply.at.since(reply.requested_at)).collect();
        all.sort_unstable();
        all
    }

    fn key_of(&self, entry: usize, process: usize) -> Option<ProcessKey> {
        let found = self.indexes.iter().find(|((e, _), p)| *e == entry && **p == process);
        found.map(|((_, key), _)| *key)
    }

    fn schedule(&mut self, after: u64, kind: EventKind) {
        self.next_event += 1;
        let event = Event { at: self.now + after, number: self.next_event, kind };
        self.events.push(Reverse(event));
    }

    fn handle(&mut self, kind: EventKind) {
        let now = Micros(self.now);
        match kind {
            EventKind::Tick => {
                self.entries.iter_mut().for_each(|router| router.tick(now));
                self.processes.iter_mut().for_each(|process| process.admission.tick(now));
                self.schedule(TICK_US, EventKind::Tick);
            }
            EventKind::Relink { entry, process } => self.relink(entry, process),
            EventKind::FrameToEntry { entry, process, epoch, body } => {
                let link = self.links.get(&(entry, process)).copied().unwrap_or_default();
                if link.up && link.epoch == epoch {
                    self.reach_entry(entry, process, body);
                }
            }
            EventKind::FrameToProcess { process, entry, epoch, body } => {
                let link = link_id(entry, epoch);
                let admission = &mut self.processes[process].admission;
                match body {
                    Body::Offer(offer) => admission.offer(now, link, offer),
                    Body::Revoke(offer) => admission.revoke(link, offer),
                    Body::FateRequest(request) => admission.report_fates(link, request),
                    _ => {}
                }
            }
            EventKind::Done { process, incarnation, offer, behaviour } => {
                let state = &mut self.processes[process];
                if state.incarnation != incarnation {
                    return;
                }
                let body = offer.id.number.to_be_bytes().to_vec();
                match behaviour {
                    Behaviour::Fail(_) => {
                        state.admission.answered(now, offer, 500, String::new(), body);
                    }
                    Behaviour::Unreachable => state.admission.unreachable(now, offer),
                    Behaviour::Break(_) => state.admission.answer_lost(now, offer),
                    _ => state.admission.answered(now, offer, 200, String::new(), body),
                }
            }
        }
    }

    fn relink(&mut self, entry: usize, process: usize) {
        let link = self.links.entry((entry, process)).or_default();
        link.epoch += 1;
        link.up = true;
        let epoch = link.epoch;
        let (now, incarnation) = (Micros(self.now), self.processes[process].incarnation);
        self.processes[process].admission.link_up(link_id(entry, epoch), entry as u64 + 100);
        if let Some(key) = self.key_of(entry, process) {
            self.entries[entry].link_up(now, key, incarnation);
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
            Body::FateReply(reply) => router.fate_reported(now, key, reply),
            Body::Leave(leave) => router.endpoint_leaving(key, leave.task),
            _ => {}
        }
    }

    fn handle_outputs(&mut self) {
        loop {
            let mut is_idle = true;
            for entry in 0..self.entries.len() {
                for output in self.entries[entry].take_outputs() {
                    is_idle = false;
                    self.entry_output(entry, output);
                }
            }
            for process in 0..self.processes.len() {
                for output in self.processes[process].admission.take_outputs() {
                    is_idle = false;
                    self.process_output(process, output);
                }
            }
            if is_idle {
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
            Output::RequestFate { process, offers } => {
                let request = pond_proto::wire::FateRequest { offers };
                self.send(entry, process, Body::FateRequest(request));
            }
            Output::Claim(request) => {
                if !self.control_available {
                    return self.entries[entry].claim_failed(now, request.ticket);
                }
                let holder = *self.claims.entry(request.key).or_insert(request.id);
                let verdict = if holder == request.id { Verdict::Granted } else { Verdict::Held };
                let reply =
                    ClaimReply { ticket: request.ticket, verdict: verdict as i32, answer: None };
                self.entries[entry].claim_decided(now, reply);
            }
            Output::EndClaim(end) => {
                if end.not_run && self.claims.get(&end.key) == Some(&end.id) {
                    self.claims.remove(&end.key);
                }
            }
            Output::Finish { id, finish } => {
                if let Some((_, requested_at)) = self.open_requests.remove(&id) {
                    self.replies.insert(id, Reply { requested_at, at: now, finish });
                }
            }
            Output::Connect { process, address } => {
                let index: usize = address.parse().unwrap_or(0);
                self.indexes.insert((entry, process), index);
                self.relink(entry, index);
            }
            Output::Disconnect { .. } => {}
        }
    }

    fn send(&mut self, entry: usize, process: ProcessKey, body: Body) -> bool {
        let Some(index) = self.indexes.get(&(entry, process)).copied() else { return false };
        let link = self.links.get(&(entry, index)).copied().unwrap_or_default();
        if link.up {
            let kind = EventKind::FrameToProcess { process: index, entry, epoch: link.epoch, body };
            self.schedule(self.delay_us, kind);
        }
        link.up
    }

    fn process_output(&mut self, process: usize, output: AdmissionOutput) {
        match output {
            AdmissionOutput::Send { link, body } => {
                let (entry, epoch) = ((link >> 32) as usize, link & 0xffff_ffff);
                let kind = EventKind::FrameToEntry { entry, process, epoch, body };
                self.schedule(self.delay_us, kind);
            }
            AdmissionOutput::Run(run) => self.start(process, &run),
        }
    }

    fn start(&mut self, process: usize, run: &Run) {
        let behaviour = self.processes[process].behaviour;
        let incarnation = self.processes[process].incarnation;
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
        self.schedule(after, EventKind::Done { process, incarnation, offer, behaviour });
    }
}

/// Returns the address of a process, which is its number.
fn address(process: usize) -> String {
    process.to_string()
}

/// Returns the identifier of a link at a process, made of the entry and the epoch.
fn link_id(entry: usize, epoch: u64) -> u64 {
    ((entry as u64) << 32) | epoch
}
