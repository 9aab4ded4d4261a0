//! The router of an entry.

mod answer;
mod claim;
mod link;
mod offer;
mod timer;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pond_proto::view::Delta;
use pond_proto::wire::{ClaimEnd, ClaimRequest, Offer, OfferId, RequestId};
use pond_proto::{Micros, Unit};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint::{EndpointKey, ProcessKey, Table};
use crate::policy::{Policy, PolicyKind};
use crate::request::{Finish, NotRun, Pending, Request};
use crate::service::Service;

/// Parameters of the router.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Load-balancing policy.
    pub policy: PolicyKind,
    /// Share of the requests that may be sent a second time, as a retry or hedge (0 to 1).
    pub retry_share: f64,
    /// Number of offers after which a repeatable request is not retried when its endpoint fails.
    /// Refused offers count, but a refused request is offered again regardless of the limit.
    pub attempts: u32,
    /// Whether slow repeatable requests are hedged, that is, sent to a second endpoint.
    pub hedge: bool,
    /// Largest share of a service's endpoints that may be ejected (0 to 1).
    pub eject_share: f64,
    /// First delay before a request is offered again after a refusal or failure, in microseconds.
    pub backoff_us: u64,
    /// How long before its deadline a request that has not started is revoked, in microseconds.
    pub revoke_us: u64,
    /// Maximum number of requests in progress, over all services. Services that are not urgent get
    /// only a part of it, so that the rest is left for urgent ones.
    pub max_in_progress: usize,
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
            max_in_progress: 4096,
        }
    }
}

/// Percentage of [`Tuning::max_in_progress`] that is available to services that are not urgent.
const LOW_PRIORITY_PERCENT: usize = 75;

/// An action for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an offer to a process; if that is not possible, call [`Router::offer_not_sent`].
    Offer {
        /// The process.
        process: ProcessKey,
        /// The offer.
        offer: Offer,
    },
    /// Ask a process not to start an offer.
    Revoke {
        /// The process.
        process: ProcessKey,
        /// The offer.
        offer: OfferId,
    },
    /// Request the fate of offers from a process.
    RequestFate {
        /// The process.
        process: ProcessKey,
        /// The offers.
        offers: Vec<OfferId>,
    },
    /// Request a claim from control; if that is not possible, call [`Router::claim_failed`].
    Claim(ClaimRequest),
    /// Report to control how a claimed request ended.
    EndClaim(ClaimEnd),
    /// Report the result of a request to its caller.
    Finish {
        /// The request.
        id: RequestId,
        /// The result.
        finish: Finish,
    },
    /// Open a link to a process, and reopen it whenever it is lost.
    Connect {
        /// The process.
        process: ProcessKey,
        /// Address of the process, as `ip:port`.
        address: String,
    },
    /// Close the link to a process permanently.
    Disconnect {
        /// The process.
        process: ProcessKey,
    },
}

/// The routing state machine of an entry.
#[derive(Debug)]
pub struct Router {
    tuning: Tuning,
    data_centre: String,
    table: Table,
    services: BTreeMap<String, Service>,
    pending: HashMap<RequestId, Pending>,
    /// Numbers of the pending requests; endpoint processes may drop results below the lowest.
    open_numbers: BTreeSet<u64>,
    /// The next timer of each pending request.
    timers: BTreeSet<(Micros, RequestId)>,
    /// Pending claims, by ticket.
    tickets: HashMap<u64, RequestId>,
    next_ticket: u64,
    term: u64,
    version: u64,
    /// Processes for which [`Output::Connect`] was issued.
    linked: BTreeSet<ProcessKey>,
    policy: Box<dyn Policy>,
    rng: SmallRng,
    outputs: Vec<Output>,
    stopping: bool,
}

impl Router {
    /// Creates a router without a configuration for an entry in `data_centre`.
    pub fn new(data_centre: &str, tuning: Tuning, seed: u64) -> Router {
        Router {
            tuning,
            data_centre: data_centre.to_owned(),
            table: Table::default(),
            services: BTreeMap::new(),
            pending: HashMap::new(),
            open_numbers: BTreeSet::new(),
            timers: BTreeSet::new(),
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

    /// Returns the pending actions for the I/O layer, in order, and clears them.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the version of the configuration in force here; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.pending.len()
    }

    /// Stops taking new requests.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Applies an update of the configuration.
    ///
    /// Returns false if the update starts from another version than the one in force. Updates that are
    /// not newer than the version in force are ignored, whichever leader sent them.
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
            self.table.retain_only(&keys);
            for service in self.services.values_mut() {
                service.configured = false;
            }
        }
        for task in &delta.removed {
            self.table.remove(EndpointKey(*task));
        }
        for endpoint in &delta.endpoints {
            self.table.insert(endpoint, &self.data_centre);
        }
        for update in &delta.services {
            let share = self.tuning.retry_share;
            let service = self.services.entry(update.name.clone());
            service.or_insert_with(|| Service::new(share)).configure(now, update);
        }
        for name in &delta.removed_services {
            if let Some(service) = self.services.get_mut(name) {
                service.configured = false;
            }
        }
        self.version = delta.to;
        self.update_links();
        self.offer_all_waiting(now);
        true
    }

    /// Starts a caller's request, which ends with exactly one [`Output::Finish`].
    pub fn request(&mut self, now: Micros, request: Request) {
        let id = request.id;
        if let Some(reason) = self.refusal(now, &request) {
            self.outputs.push(Output::Finish { id, finish: Finish::NotRun(reason) });
            return;
        }
        let Some(service) = self.services.get_mut(&request.content.service) else { return };
        service.in_progress += 1;
        service.budget.deposit();
        let claims = !request.repeatable && !request.content.key.is_empty();
        let pending = Pending::new(request, now);
        self.pending.insert(id, pending);
        self.open_numbers.insert(id.number);
        if claims {
            self.request_claim(id);
            self.schedule_wake(now, id);
        } else {
            self.enqueue(now, id);
        }
    }

    /// Returns why a new request is refused, if it is.
    fn refusal(&mut self, now: Micros, request: &Request) -> Option<NotRun> {
        if self.stopping {
            return Some(NotRun::Stopping);
        }
        if self.version == 0 {
            return Some(NotRun::NotReady);
        }
        let in_progress = self.pending.len();
        let service = self.services.get_mut(&request.content.service).filter(|s| s.configured);
        let Some(service) = service else { return Some(NotRun::NoService) };
        let all = self.tuning.max_in_progress;
        let share =
            if service.priority >= Unit::URGENT { all } else { all * LOW_PRIORITY_PERCENT / 100 };
        let full = in_progress >= share || service.in_progress >= service.concurrency;
        (full || service.sheds_load(now) || !service.within_rate(now)).then_some(NotRun::Overload)
    }
}
