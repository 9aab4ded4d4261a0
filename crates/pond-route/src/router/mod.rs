//! The router of an entry.

mod answer;
mod claim;
mod link;
mod offer;
mod timer;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pond_proto::view::Delta;
use pond_proto::wire::{ClaimAsk, ClaimEnd, Offer, OfferId, RequestId};
use pond_proto::{Micros, Unit};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint::{EndpointKey, ProcessKey, Table};
use crate::policy::{Policy, PolicyKind};
use crate::request::{Finish, Flight, NotRun, Request};
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

/// Something the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an offer; if that is not possible, call [`Router::offer_not_sent`].
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
    pub fn apply_view(&mut self, now: Micros, delta: Delta) -> bool {
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
}
