//! The router of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pond_proto::view::Delta;
use pond_proto::wire::{
    Answer, ClaimAsk, ClaimEnd, ClaimTell, Fate, FateTell, Offer, OfferId, Refusal, Refuse,
    RequestId, Verdict,
};
use pond_proto::{Micros, Unit};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::endpoint::{Endpoint, EndpointKey, ProcessKey, Table};
use crate::policy::{Policy, PolicyKind};
use crate::request::{Finish, Flight, NotRun, OfferState, Offered, Request, Stage};
use crate::service::Service;

/// How the router behaves.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How an endpoint is chosen.
    pub policy: PolicyKind,
    /// Share of the requests that may be sent once more, as retry or hedge.
    pub retry_share: f64,
    /// Offers of one request at most, refusals aside.
    pub attempts: u32,
    /// Whether slow repeatable requests are hedged.
    pub hedge: bool,
    /// Largest share of a service's endpoints that may be ejected.
    pub eject_share: f64,
    /// First wait before a retry, in microseconds.
    pub backoff_us: u64,
    /// How long before its deadline a request that has not started is revoked, in microseconds.
    pub revoke_us: u64,
    /// Requests of all services that may be under way. Services that are not urgent are refused
    /// earlier, so that the rest is left for urgent ones.
    pub under_way: usize,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            policy: PolicyKind::TwoChoices,
            retry_share: 0.1,
            attempts: 3,
            hedge: true,
            eject_share: 0.5,
            backoff_us: 2_000,
            revoke_us: 20_000,
            under_way: 4096,
        }
    }
}

/// Hundredths of all requests under way that services may have that are not urgent.
const LOW_SHARE: usize = 75;

/// How long an endpoint is taken as full after it refused, in microseconds.
const FULL_US: u64 = 2_000;

/// How long until a claim that another request holds is asked again, in microseconds.
const HELD_US: u64 = 50_000;

/// The shortest time after which a request is hedged, in microseconds.
const HEDGE_LEAST_US: u64 = 1_000;

/// Answers needed before hedging starts.
const HEDGE_SAMPLES: u32 = 100;

/// Something the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an offer; if that is not possible, call [`Router::not_sent`].
    Offer {
        /// To which process.
        process: ProcessKey,
        /// The offer.
        offer: Offer,
    },
    /// Ask a process not to start an offer.
    Revoke {
        /// Which process.
        process: ProcessKey,
        /// Which offer.
        offer: OfferId,
    },
    /// Ask a process for the fate of offers.
    AskFate {
        /// Which process.
        process: ProcessKey,
        /// Which offers.
        offers: Vec<OfferId>,
    },
    /// Ask control for a claim; if that is not possible, call [`Router::claim_failed`].
    Claim(ClaimAsk),
    /// Tell control how a claimed request ended.
    EndClaim(ClaimEnd),
    /// Tell the caller.
    Finish {
        /// Which request.
        id: RequestId,
        /// What.
        finish: Finish,
    },
    /// Keep a link to a process.
    Connect {
        /// Which process.
        process: ProcessKey,
        /// Its address.
        address: String,
    },
    /// Give up the link to a process.
    Disconnect {
        /// Which process.
        process: ProcessKey,
    },
}

/// The router of an entry.
#[derive(Debug)]
pub struct Router {
    tuning: Tuning,
    data_centre: String,
    table: Table,
    services: BTreeMap<String, Service>,
    flights: HashMap<RequestId, Flight>,
    open_numbers: BTreeSet<u64>,
    /// When each request is looked at again.
    wakes: BTreeSet<(Micros, RequestId)>,
    tickets: HashMap<u64, RequestId>,
    next_ticket: u64,
    term: u64,
    version: u64,
    linked: BTreeSet<ProcessKey>,
    policy: Box<dyn Policy>,
    rng: SmallRng,
    outputs: Vec<Output>,
    stopping: bool,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(data_centre: &str, tuning: Tuning, seed: u64) -> Router {
        Router {
            tuning,
            data_centre: data_centre.to_owned(),
            table: Table::default(),
            services: BTreeMap::new(),
            flights: HashMap::new(),
            open_numbers: BTreeSet::new(),
            wakes: BTreeSet::new(),
            tickets: HashMap::new(),
            next_ticket: 1,
            term: 0,
            version: 0,
            linked: BTreeSet::new(),
            policy: tuning.policy.build(),
            rng: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
            stopping: false,
        }
    }

    /// Takes what the shell must do, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The version of the configuration in force here; zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Requests under way.
    pub fn under_way(&self) -> usize {
        self.flights.len()
    }

    /// From now on takes nothing new.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes in a step of the configuration; false if it does not follow on what is in force.
    ///
    /// Nothing older than what is in force is ever taken in, from no leader.
    pub fn view(&mut self, now: Micros, delta: Delta) -> bool {
        if delta.to <= self.version {
            return true;
        }
        if delta.from != 0 && delta.from != self.version {
            return false;
        }
        self.term = self.term.max(delta.term);
        if delta.from == 0 {
            let keys = delta.endpoints.iter().map(|endpoint| EndpointKey(endpoint.task)).collect();
            self.table.keep_only(&keys);
            for service in self.services.values_mut() {
                service.known = false;
            }
        }
        for task in &delta.gone {
            self.table.remove(EndpointKey(*task));
        }
        for endpoint in &delta.endpoints {
            self.table.put(endpoint, &self.data_centre);
        }
        for told in &delta.services {
            let share = self.tuning.retry_share;
            let service = self.services.entry(told.name.clone());
            service.or_insert_with(|| Service::new(share)).put(now, told);
        }
        for name in &delta.gone_services {
            if let Some(service) = self.services.get_mut(name) {
                service.known = false;
            }
        }
        self.version = delta.to;
        self.update_links();
        self.offer_all_waiting(now);
        true
    }

    fn update_links(&mut self) {
        let wanted: BTreeMap<ProcessKey, String> =
            self.table.processes().map(|(key, process)| (key, process.address.clone())).collect();
        for (process, address) in &wanted {
            if self.linked.insert(*process) {
                let (process, address) = (*process, address.clone());
                self.outputs.push(Output::Connect { process, address });
            }
        }
        let gone: Vec<ProcessKey> =
            self.linked.iter().filter(|key| !wanted.contains_key(key)).copied().collect();
        for process in gone {
            self.linked.remove(&process);
            self.outputs.push(Output::Disconnect { process });
        }
    }

    /// Takes in a caller's request. It ends with exactly one [`Output::Finish`].
    pub fn request(&mut self, now: Micros, request: Request) {
        let id = request.id;
        if let Some(reason) = self.refusal(now, &request) {
            self.outputs.push(Output::Finish { id, finish: Finish::NotRun(reason) });
            return;
        }
        let Some(service) = self.services.get_mut(&request.content.service) else { return };
        service.under_way += 1;
        service.budget.earn();
        let claims = !request.repeatable && !request.content.key.is_empty();
        let flight = Flight::new(request, now);
        self.flights.insert(id, flight);
        self.open_numbers.insert(id.number);
        if claims {
            self.ask_claim(id);
            self.plan_wake(now, id);
        } else {
            self.enqueue(now, id);
        }
    }

    fn refusal(&mut self, now: Micros, request: &Request) -> Option<NotRun> {
        if self.stopping {
            return Some(NotRun::Stopping);
        }
        if self.version == 0 {
            return Some(NotRun::NotReady);
        }
        let under_way = self.flights.len();
        let service = self.services.get_mut(&request.content.service).filter(|s| s.known);
        let Some(service) = service else { return Some(NotRun::NoService) };
        let all = self.tuning.under_way;
        let share = if service.priority >= Unit::URGENT { all } else { all * LOW_SHARE / 100 };
        let full = under_way >= share || service.under_way >= service.concurrency;
        (full || service.sheds(now) || !service.within_rate(now)).then_some(NotRun::Overload)
    }

    fn ask_claim(&mut self, id: RequestId) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.stage = Stage::Claiming;
        flight.not_before = Micros(u64::MAX);
        let content = &flight.request.content;
        let ask = ClaimAsk {
            ticket,
            service: content.service.clone(),
            key: content.key.clone(),
            digest: digest(&content.body),
            id,
        };
        self.tickets.insert(ticket, id);
        self.outputs.push(Output::Claim(ask));
    }

    /// Control decided a claim.
    pub fn claim_told(&mut self, now: Micros, tell: ClaimTell) {
        let verdict = tell.verdict();
        let Some(id) = self.tickets.remove(&tell.ticket) else { return };
        let Some(flight) = self.flights.get_mut(&id).filter(|f| f.stage == Stage::Claiming) else {
            // The caller is gone already; a claim that was granted is free again.
            return;
        };
        match verdict {
            Verdict::Granted => {
                flight.claimed = true;
                flight.held = false;
                flight.not_before = Micros(0);
                self.enqueue(now, id);
            }
            Verdict::Answered => match tell.answer {
                Some(answer) => self.finish(now, id, Finish::Answered(answer)),
                None => self.finish(now, id, Finish::Unknown),
            },
            Verdict::Held => {
                // Another request with this key is under way; its answer may come in time.
                flight.held = true;
                flight.not_before = now + HELD_US;
                self.plan_wake(now, id);
            }
            Verdict::Ended => self.finish(now, id, Finish::Unknown),
            Verdict::Mismatch => self.finish(now, id, Finish::NotRun(NotRun::KeyReused)),
            Verdict::Full => self.finish(now, id, Finish::NotRun(NotRun::ClaimsFull)),
            Verdict::NoQuorum => self.finish(now, id, Finish::NotRun(NotRun::NoQuorum)),
        }
    }

    /// A claim could not be asked, or its answer is lost: it did not run, as it was not offered.
    pub fn claim_failed(&mut self, now: Micros, ticket: u64) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        if self.flights.get(&id).is_some_and(|flight| flight.stage == Stage::Claiming) {
            self.expire(now, id);
        }
    }

    /// The link to control is lost: claims that were asked on it are not answered any more.
    pub fn control_lost(&mut self, now: Micros) {
        let mut tickets: Vec<u64> = self.tickets.keys().copied().collect();
        tickets.sort_unstable();
        tickets.into_iter().for_each(|ticket| self.claim_failed(now, ticket));
    }

    /// Puts a request into its service's queue, now or at its time.
    fn enqueue(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.stage = Stage::Waiting;
        let service = flight.request.content.service.clone();
        let ready = flight.not_before <= now;
        self.plan_wake(now, id);
        if !ready {
            return;
        }
        // One that was refused has waited already: it goes before those that came later.
        let again = self.flights.get(&id).is_some_and(|flight| flight.attempts > 0);
        if let Some(service) = self.services.get_mut(&service) {
            if again {
                service.waiting.push_front(id);
            } else {
                service.waiting.push_back(id);
            }
        }
        self.offer_waiting(now, &service);
    }

    fn offer_all_waiting(&mut self, now: Micros) {
        let waiting = self.services.iter().filter(|(_, service)| !service.waiting.is_empty());
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.offer_waiting(now, name));
    }

    /// Offers waiting requests of a service, oldest first, as long as an endpoint is free.
    fn offer_waiting(&mut self, now: Micros, name: &str) {
        while let Some(id) = self.services.get(name).and_then(|s| s.waiting.front().copied()) {
            let flight = self.flights.get(&id).filter(|flight| flight.stage == Stage::Waiting);
            let deadline = flight.map(|flight| flight.request.deadline);
            let stays = deadline.is_some_and(|deadline| now < deadline);
            if stays && !self.offer_one(now, id) {
                return;
            }
            if let Some(service) = self.services.get_mut(name) {
                service.waiting.pop_front();
            }
            if deadline.is_some() && !stays {
                self.expire(now, id);
            }
        }
    }

    /// Offers a request to the best free endpoint; false if there is none.
    ///
    /// One that was tried before is taken only if no other is free, and never while an offer is
    /// still open there.
    fn offer_one(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(flight) = self.flights.get(&id) else { return false };
        let open = flight.offers.iter().filter(|offer| offer.state != OfferState::Broken);
        let open: Vec<EndpointKey> = open.map(|offer| offer.endpoint).collect();
        let tried: Vec<EndpointKey> = flight.offers.iter().map(|offer| offer.endpoint).collect();
        let service = flight.request.content.service.clone();
        let choice = self
            .choose(now, &service, &tried)
            .or_else(|| if tried == open { None } else { self.choose(now, &service, &open) });
        let Some(endpoint) = choice else { return false };
        self.offer_to(now, id, endpoint);
        true
    }

    /// The endpoint for a request: a free one near by, else a free one elsewhere.
    fn choose(&mut self, now: Micros, service: &str, tried: &[EndpointKey]) -> Option<EndpointKey> {
        let granted = self.tuning.policy == PolicyKind::Grants;
        let usable = |endpoint: &&Endpoint| {
            let up = self.table.process(endpoint.process).is_some_and(|p| p.life.is_some());
            up && endpoint.open_to_requests(now)
                && !endpoint.full(now, granted)
                && !tried.contains(&endpoint.key)
        };
        let all: Vec<&Endpoint> = self.table.of_service(service).filter(usable).collect();
        let near: Vec<&Endpoint> = all.iter().filter(|endpoint| endpoint.near).copied().collect();
        let candidates = if near.is_empty() { &all } else { &near };
        if candidates.is_empty() {
            return None;
        }
        Some(self.policy.pick(now, candidates, &mut self.rng))
    }

    fn offer_to(&mut self, now: Micros, id: RequestId, key: EndpointKey) {
        let Some(endpoint) = self.table.get_mut(key) else { return };
        let process = endpoint.process;
        endpoint.open += 1;
        let life = self.table.process(process).and_then(|p| p.life).unwrap_or(0);
        let oldest_open = self.open_numbers.first().copied().unwrap_or(0);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.attempts += 1;
        flight.stage = Stage::Offered;
        let attempt = flight.attempts;
        let state = OfferState::Open;
        flight.offers.push(Offered { attempt, endpoint: key, process, life, at: now, state });
        let remaining_us = flight.request.deadline.since(now);
        let offer = Offer {
            id,
            attempt,
            task: key.0,
            remaining_ms: (remaining_us / 1000).max(1) as u32,
            content: flight.request.content.clone(),
            oldest_open,
        };
        self.outputs.push(Output::Offer { process, offer });
        self.plan_wake(now, id);
    }

    /// Takes an offer out of its request and gives its place at the endpoint back.
    fn close(&mut self, offer: OfferId) -> Option<Offered> {
        let flight = self.flights.get_mut(&offer.id)?;
        let place = flight.offers.iter().position(|open| open.attempt == offer.attempt)?;
        let closed = flight.offers.remove(place);
        if closed.state != OfferState::Broken
            && let Some(endpoint) = self.table.get_mut(closed.endpoint)
        {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
        Some(closed)
    }

    /// An offer could not be put on its link: it did not run.
    pub fn not_sent(&mut self, now: Micros, offer: OfferId) {
        if let Some(closed) = self.close(offer) {
            if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
                endpoint.full_until = now + FULL_US;
            }
            self.again(now, offer.id, NotRun::Overload);
        }
    }

    /// An endpoint process refused an offer: it did not and will not run.
    pub fn refused(&mut self, now: Micros, process: ProcessKey, refuse: Refuse) {
        if !self.is_from(process, refuse.offer) {
            return;
        }
        let Some(closed) = self.close(refuse.offer) else { return };
        let refusal = refuse.refusal();
        if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
            endpoint.grant = refuse.grant;
            match refusal {
                Refusal::Full => endpoint.full_until = now + FULL_US,
                Refusal::Leaving | Refusal::NoEndpoint => endpoint.refused = true,
                _ => {}
            }
        }
        if refusal == Refusal::Unreachable {
            self.endpoint_failed(now, closed.endpoint);
        }
        let reason = match refusal {
            Refusal::Full => NotRun::Overload,
            Refusal::Expired | Refusal::Revoked => NotRun::Expired,
            _ => NotRun::NoEndpoint,
        };
        self.again(now, refuse.offer.id, reason);
    }

    /// Whether an offer was made to that process, so that a message about it counts.
    fn is_from(&self, process: ProcessKey, offer: OfferId) -> bool {
        let flight = self.flights.get(&offer.id);
        let offers = flight.into_iter().flat_map(|flight| &flight.offers);
        offers.filter(|open| open.attempt == offer.attempt).any(|open| open.process == process)
    }

    /// Goes on with a request after one of its offers did not run.
    fn again(&mut self, now: Micros, id: RequestId, reason: NotRun) {
        let backoff = self.tuning.backoff_us;
        let spread = self.rng.random_range(0..=backoff);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.reason = reason;
        if !flight.offers.is_empty() {
            self.settle(now, id);
            return;
        }
        if flight.revoked || reason == NotRun::Expired || now >= flight.request.deadline {
            self.finish(now, id, Finish::NotRun(NotRun::Expired));
            return;
        }
        // What did not run costs the endpoint nothing, but a refusal storm must not spin. A full
        // endpoint is left alone for a while anyway.
        if flight.attempts > 1 && reason != NotRun::Overload {
            let doublings = (flight.attempts - 2).min(6);
            flight.not_before = now + (backoff << doublings) / 2 + spread;
        }
        self.enqueue(now, id);
    }

    /// The endpoint's whole answer came.
    pub fn answered(&mut self, now: Micros, process: ProcessKey, answer: Answer) {
        if !self.is_from(process, answer.offer) {
            return;
        }
        let id = answer.offer.id;
        let Some(closed) = self.close(answer.offer) else { return };
        let taken_us = now.since(closed.at);
        let failed = answer.status >= 500;
        if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
            // A fast failure must not make the endpoint look fast.
            if !failed {
                endpoint.learn(now, taken_us, &answer);
                endpoint.health.succeed();
            }
        }
        if failed {
            self.endpoint_failed(now, closed.endpoint);
            if self.may_retry(now, id) {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.ran = true;
                    flight.failure = Some(answer);
                }
                self.again(now, id, NotRun::NoEndpoint);
                return;
            }
        }
        self.finish(now, id, Finish::Answered(answer));
    }

    /// Whether a repeatable request whose endpoint failed is sent once more.
    fn may_retry(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(flight) = self.flights.get(&id) else { return false };
        let in_time = now < flight.request.deadline && !flight.revoked;
        if !flight.request.repeatable || !in_time || flight.attempts >= self.tuning.attempts {
            return false;
        }
        let service = self.services.get_mut(&flight.request.content.service);
        service.is_some_and(|service| service.budget.spend())
    }

    fn endpoint_failed(&mut self, now: Micros, key: EndpointKey) {
        let Some(endpoint) = self.table.get_mut(key) else { return };
        if !endpoint.health.fail() {
            return;
        }
        let service = endpoint.service.clone();
        let all = self.table.of_service(&service).count();
        let ejected = self.table.of_service(&service).filter(|e| !e.open_to_requests(now)).count();
        if (ejected + 1) as f64 <= all as f64 * self.tuning.eject_share
            && let Some(endpoint) = self.table.get_mut(key)
        {
            endpoint.health.eject(now);
        }
    }

    /// An offer started and its answer is lost.
    pub fn broken(&mut self, now: Micros, process: ProcessKey, offer: OfferId) {
        if !self.is_from(process, offer) {
            return;
        }
        let Some(flight) = self.flights.get_mut(&offer.id) else { return };
        let found = flight.offers.iter_mut().find(|open| open.attempt == offer.attempt);
        let Some(open) = found.filter(|open| open.state != OfferState::Broken) else { return };
        open.state = OfferState::Broken;
        let key = open.endpoint;
        flight.ran = true;
        if let Some(endpoint) = self.table.get_mut(key) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
        self.endpoint_failed(now, key);
        self.settle(now, offer.id);
    }

    /// Decides on a request some of whose offers may have run.
    fn settle(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let alive = flight.offers.iter().any(|offer| offer.state == OfferState::Open);
        let limbo = flight.offers.iter().any(|offer| offer.state == OfferState::Limbo);
        if alive {
            return;
        }
        if self.may_retry(now, id) {
            self.enqueue(now, id);
            return;
        }
        if !limbo {
            self.finish(now, id, Finish::Unknown);
        }
    }

    /// A link to an endpoint process is up.
    pub fn link_up(&mut self, now: Micros, process: ProcessKey, life: u64) {
        let Some(entry) = self.table.process_mut(process) else { return };
        entry.life = Some(life);
        let same = entry.last_life == Some(life);
        entry.last_life = Some(life);
        for endpoint in self.table.behind(process) {
            endpoint.refused &= same;
        }
        self.resolve_limbo(now, process, life);
        self.offer_all_waiting(now);
    }

    /// Asks for the fate of offers whose link was lost; those to another life may have run.
    fn resolve_limbo(&mut self, now: Micros, process: ProcessKey, life: u64) {
        let mut ask = Vec::new();
        let mut lost = Vec::new();
        for (id, flight) in &self.flights {
            for offer in flight.offers.iter().filter(|offer| offer.process == process) {
                let name = OfferId { id: *id, attempt: offer.attempt };
                match offer.state {
                    OfferState::Limbo if offer.life == life => ask.push(name),
                    OfferState::Limbo => lost.push(name),
                    _ => {}
                }
            }
        }
        ask.sort_unstable();
        lost.sort_unstable();
        lost.into_iter().for_each(|offer| self.broken(now, process, offer));
        if !ask.is_empty() {
            self.outputs.push(Output::AskFate { process, offers: ask });
        }
    }

    /// A link to an endpoint process is lost.
    pub fn link_down(&mut self, now: Micros, process: ProcessKey) {
        if let Some(entry) = self.table.process_mut(process) {
            entry.life = None;
        }
        let mut touched = Vec::new();
        for (id, flight) in &mut self.flights {
            for offer in flight.offers.iter_mut().filter(|offer| offer.process == process) {
                if offer.state == OfferState::Open {
                    offer.state = OfferState::Limbo;
                    touched.push(*id);
                }
            }
        }
        touched.sort_unstable();
        touched.into_iter().for_each(|id| self.settle(now, id));
    }

    /// An endpoint process told the fate of an offer.
    pub fn fate_told(&mut self, now: Micros, process: ProcessKey, tell: FateTell) {
        if !self.is_from(process, tell.offer) {
            return;
        }
        match tell.fate() {
            Fate::NotRun => {
                if self.close(tell.offer).is_some() {
                    self.again(now, tell.offer.id, NotRun::NoEndpoint);
                }
            }
            Fate::Lost => self.broken(now, process, tell.offer),
            Fate::Running => {
                let flight = self.flights.get_mut(&tell.offer.id);
                let offers = flight.into_iter().flat_map(|flight| &mut flight.offers);
                for offer in offers.filter(|offer| offer.attempt == tell.offer.attempt) {
                    if offer.state == OfferState::Limbo {
                        offer.state = OfferState::Open;
                    }
                }
            }
        }
    }

    /// An endpoint process takes nothing new for one endpoint, or (task zero) for all.
    pub fn leaving(&mut self, process: ProcessKey, task: u64) {
        for endpoint in self.table.behind(process) {
            endpoint.refused |= task == 0 || endpoint.key.0 == task;
        }
    }

    /// Sets when a request is looked at again without anything happening to it.
    fn plan_wake(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let mut wake = flight.request.deadline;
        if flight.not_before > now {
            wake = wake.min(flight.not_before);
        }
        if flight.stage == Stage::Offered && !flight.revoked {
            wake = wake.min(self.revoke_at(flight));
        }
        wake = self.hedge_at(flight).map_or(wake, |at| wake.min(at));
        let wake = wake.max(now + 1);
        let Some(flight) = self.flights.get_mut(&id) else { return };
        self.wakes.remove(&(flight.wake, id));
        flight.wake = wake;
        self.wakes.insert((wake, id));
    }

    /// When a request that has not started is revoked: a little before its deadline.
    fn revoke_at(&self, flight: &Flight) -> Micros {
        let whole = flight.request.deadline.since(flight.arrived);
        let margin = self.tuning.revoke_us.min(whole / 10);
        Micros(flight.request.deadline.0.saturating_sub(margin))
    }

    /// Lets time pass: deadlines, retries, hedges.
    pub fn tick(&mut self, now: Micros) {
        while let Some((wake, id)) = self.wakes.first().copied().filter(|(wake, _)| *wake <= now) {
            self.wakes.remove(&(wake, id));
            self.wake(now, id);
            self.plan_wake(now, id);
        }
        self.offer_all_waiting(now);
    }

    fn wake(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        if now >= flight.request.deadline {
            self.expire(now, id);
        } else if flight.stage == Stage::Claiming && now >= flight.not_before {
            self.ask_claim(id);
        } else if flight.stage == Stage::Waiting && flight.not_before != Micros(0) {
            // Its wait after a refusal or failure is over.
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.not_before = Micros(0);
            }
            self.enqueue(now, id);
        } else if flight.stage == Stage::Offered && !flight.revoked && now >= self.revoke_at(flight)
        {
            self.revoke_all(id);
        } else if self.hedge_at(flight).is_some_and(|at| now >= at) {
            self.hedge(now, id);
        }
    }

    fn revoke_all(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.revoked = true;
        let open = flight.offers.iter().filter(|offer| offer.state == OfferState::Open);
        for offer in open {
            let name = OfferId { id, attempt: offer.attempt };
            self.outputs.push(Output::Revoke { process: offer.process, offer: name });
        }
    }

    /// The caller's time is over.
    fn expire(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let finish = match flight.stage {
            Stage::Claiming if flight.held => Finish::Unknown,
            Stage::Claiming => Finish::NotRun(NotRun::NoQuorum),
            _ if flight.offers.is_empty() => Finish::NotRun(expired_reason(flight)),
            _ => Finish::Unknown,
        };
        if flight.stage == Stage::Claiming
            && !flight.held
            && let Some(flight) = self.flights.get_mut(&id)
        {
            // It may have been granted; it must be free again for a resend.
            flight.claimed = true;
        }
        self.finish(now, id, finish);
    }

    /// When a repeatable request is offered a second time, if its first offer is still open then.
    fn hedge_at(&self, flight: &Flight) -> Option<Micros> {
        if !self.tuning.hedge || !flight.request.repeatable || flight.hedged {
            return None;
        }
        let [offer] = flight.offers.as_slice() else { return None };
        let service = self.services.get(&flight.request.content.service)?;
        let p95 = service.latency.quantile(0.95, HEDGE_SAMPLES)?;
        (flight.stage == Stage::Offered).then_some(offer.at + p95.max(HEDGE_LEAST_US))
    }

    fn hedge(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.hedged = true;
        let service = flight.request.content.service.clone();
        let tried: Vec<EndpointKey> = flight.offers.iter().map(|offer| offer.endpoint).collect();
        let Some(endpoint) = self.choose(now, &service, &tried) else { return };
        let allowed = self.services.get_mut(&service).is_some_and(|s| s.budget.spend());
        if allowed {
            self.offer_to(now, id, endpoint);
        }
    }

    /// The caller is gone: what has not started is revoked, and nobody is told.
    pub fn abandoned(&mut self, now: Micros, id: RequestId) {
        if self.flights.contains_key(&id) {
            self.revoke_all(id);
            self.expire(now, id);
        }
    }

    /// Ends a request: its caller is told, other offers of it are revoked, its claim is ended.
    fn finish(&mut self, now: Micros, id: RequestId, finish: Finish) {
        let Some(mut flight) = self.flights.remove(&id) else { return };
        let finish = flight.truth(finish);
        self.open_numbers.remove(&id.number);
        self.wakes.remove(&(flight.wake, id));
        let name = flight.request.content.service.clone();
        for offer in &flight.offers {
            if offer.state == OfferState::Broken {
                continue;
            }
            if let Some(endpoint) = self.table.get_mut(offer.endpoint) {
                endpoint.open = endpoint.open.saturating_sub(1);
            }
            if offer.state == OfferState::Open {
                let name = OfferId { id, attempt: offer.attempt };
                self.outputs.push(Output::Revoke { process: offer.process, offer: name });
            }
        }
        if let Some(service) = self.services.get_mut(&name) {
            service.under_way = service.under_way.saturating_sub(1);
            if let Finish::Answered(answer) = &finish {
                service.latency.add(now.since(flight.arrived));
                service.answered(now, answer.service_us);
            }
        }
        if flight.claimed {
            self.outputs.push(Output::EndClaim(end_of_claim(&flight, &finish)));
        }
        self.outputs.push(Output::Finish { id, finish });
        let waits = self.services.get(&name).is_some_and(|service| !service.waiting.is_empty());
        if waits {
            self.offer_waiting(now, &name);
        }
    }
}

/// Why a waiting request that ran out of time did not run.
fn expired_reason(flight: &Flight) -> NotRun {
    match flight.attempts {
        0 => flight.reason,
        _ => NotRun::Expired,
    }
}

fn end_of_claim(flight: &Flight, finish: &Finish) -> ClaimEnd {
    let content = &flight.request.content;
    ClaimEnd {
        service: content.service.clone(),
        key: content.key.clone(),
        id: flight.request.id,
        not_run: matches!(finish, Finish::NotRun(_)),
        answer: match finish {
            Finish::Answered(answer) => Some(answer.clone()),
            _ => None,
        },
    }
}

/// The checksum by which a reused key with another body is known.
fn digest(body: &[u8]) -> u32 {
    crc32c::crc32c(body)
}
