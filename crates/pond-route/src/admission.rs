//! Admission control in an endpoint process: slots, queues, and the fate of every offer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use pond_proto::Micros;
use pond_proto::view::Delta;
use pond_proto::wire::{
    Answer, AnswerLost, Body, Content, Fate, FateReply, FateRequest, Leave, Offer, OfferId,
    Refusal, Refused,
};

/// Maximum number of queued offers for each slot of an endpoint.
const QUEUE_PER_SLOT: u32 = 1;

/// How long the result of an offer is retained after the request's deadline, in microseconds.
const RETENTION_US: u64 = 5_000_000;

/// Maximum total size of the answers that are retained in case an entry reconnects, in bytes.
const MAX_RETAINED_BYTES: usize = 8 << 20;

/// Identifies one link of the process; assigned by the I/O layer.
pub type Link = u64;

/// An offer to run now.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The offer to run.
    pub offer: OfferId,
    /// Address of the endpoint.
    pub address: String,
    /// Service, key, content type and body, as forwarded to the endpoint.
    pub content: Content,
    /// The caller's deadline; an answer after it is of no use.
    pub deadline: Micros,
}

/// An action for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionOutput {
    /// Call the endpoint, then report the result with [`Admission::answered`],
    /// [`Admission::unreachable`] or [`Admission::answer_lost`].
    Run(Run),
    /// Send a frame on a link.
    Send {
        /// The link to send on.
        link: Link,
        /// The frame.
        body: Body,
    },
}

/// The state of an offer.
#[derive(Clone, Debug)]
enum State {
    Queued {
        task: u64,
        content: Content,
        arrived: Micros,
    },
    Running {
        task: u64,
        arrived: Micros,
        started: Micros,
    },
    Done(Answer),
    /// The offer may have run, and its answer is lost or no longer retained.
    Lost,
}

/// An offer with its state.
#[derive(Clone, Debug)]
struct Record {
    state: State,
    deadline: Micros,
}

/// A running offer that has just given its slot back.
struct Released {
    task: u64,
    arrived: Micros,
    started: Micros,
}

fn saturating_u32(us: u64) -> u32 {
    us.min(u64::from(u32::MAX)) as u32
}

/// An endpoint that this process forwards to.
#[derive(Clone, Debug, Default)]
struct Endpoint {
    address: String,
    slots: u32,
    running: u32,
    /// Number of running offers for each incarnation of an entry.
    running_by_entry: BTreeMap<u64, u32>,
    queue: VecDeque<OfferId>,
    leaving: bool,
    /// Whether it is no longer in the configuration; it is removed once nothing runs there.
    removed: bool,
}

/// The admission control of one endpoint process.
#[derive(Debug, Default)]
pub struct Admission {
    own_address: String,
    endpoints: BTreeMap<u64, Endpoint>,
    offers: HashMap<OfferId, Record>,
    /// The newest link of each entry incarnation. Older links count as lost, and frames that still
    /// arrive on them are ignored.
    links: HashMap<u64, Link>,
    incarnations: HashMap<Link, u64>,
    retained: VecDeque<(Micros, OfferId)>,
    retained_bytes: usize,
    term: u64,
    version: u64,
    leaving: bool,
    outputs: Vec<AdmissionOutput>,
}

impl Admission {
    /// Creates the admission control of the process with the internal address `own_address`.
    pub fn new(own_address: &str) -> Admission {
        Admission { own_address: own_address.to_owned(), ..Admission::default() }
    }

    /// Returns the pending actions for the I/O layer, in order, and clears them.
    pub fn take_outputs(&mut self) -> Vec<AdmissionOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the version of the configuration in force here; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the tasks of leaving endpoints that have neither running nor queued offers.
    pub fn drained(&self) -> Vec<u64> {
        let drained = |endpoint: &Endpoint| {
            (endpoint.leaving || self.leaving) && endpoint.running == 0 && endpoint.queue.is_empty()
        };
        self.endpoints.iter().filter(|(_, e)| drained(e)).map(|(task, _)| *task).collect()
    }

    /// Returns the number of running and queued offers.
    pub fn in_progress(&self) -> usize {
        self.endpoints.values().map(|e| e.running as usize + e.queue.len()).sum()
    }

    /// Applies an update of the configuration.
    ///
    /// Returns false if the update starts from another version than the one in force.
    pub fn apply_view(&mut self, now: Micros, delta: Delta) -> bool {
        if delta.to <= self.version {
            return true;
        }
        if delta.from != 0 && delta.from != self.version {
            return false;
        }
        self.term = self.term.max(delta.term);
        self.version = delta.to;
        if delta.from == 0 {
            let listed: Vec<u64> = delta.endpoints.iter().map(|endpoint| endpoint.task).collect();
            let removed: Vec<u64> =
                self.endpoints.keys().filter(|task| !listed.contains(task)).copied().collect();
            removed.into_iter().for_each(|task| self.remove_endpoint(task));
        }
        delta.removed.iter().for_each(|task| self.remove_endpoint(*task));
        let own: Vec<_> = delta
            .endpoints
            .into_iter()
            .filter(|update| update.process == self.own_address)
            .collect();
        for update in own {
            let endpoint = self.endpoints.entry(update.task).or_default();
            endpoint.address = update.address;
            endpoint.slots = update.slots.max(1);
            if update.leaving && !endpoint.leaving {
                self.leave(update.task);
            }
            if let Some(endpoint) = self.endpoints.get_mut(&update.task) {
                endpoint.leaving = update.leaving;
            }
            self.start_queued(now, update.task);
        }
        true
    }

    fn remove_endpoint(&mut self, task: u64) {
        self.leave(task);
        let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
        endpoint.removed = true;
        if endpoint.running == 0 {
            self.endpoints.remove(&task);
        }
    }

    /// Stops one endpoint from taking new offers and refuses its queued ones.
    pub fn leave(&mut self, task: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
        endpoint.leaving = true;
        let waiting: Vec<OfferId> = endpoint.queue.drain(..).collect();
        for offer in waiting {
            self.offers.remove(&offer);
            self.refuse(offer, task, Refusal::Leaving);
        }
        self.broadcast(Body::Leave(Leave { task }));
    }

    /// Stops all endpoints of the process from taking new offers.
    pub fn leave_all(&mut self) {
        self.leaving = true;
        let tasks: Vec<u64> = self.endpoints.keys().copied().collect();
        tasks.into_iter().for_each(|task| self.leave(task));
        self.broadcast(Body::Leave(Leave { task: 0 }));
    }

    fn broadcast(&mut self, body: Body) {
        let mut links: Vec<Link> = self.links.values().copied().collect();
        links.sort_unstable();
        for link in links {
            self.outputs.push(AdmissionOutput::Send { link, body: body.clone() });
        }
    }

    /// Registers the link of an entry. Older links of the same incarnation count as lost from now on.
    pub fn link_up(&mut self, link: Link, incarnation: u64) {
        if let Some(old) = self.links.insert(incarnation, link) {
            self.incarnations.remove(&old);
            self.drop_queued(incarnation);
        }
        self.incarnations.insert(link, incarnation);
        if self.leaving {
            let body = Body::Leave(Leave { task: 0 });
            self.outputs.push(AdmissionOutput::Send { link, body });
        }
    }

    /// Handles the loss of an entry's link: its queued offers are dropped, running ones continue.
    pub fn link_down(&mut self, link: Link) {
        let Some(incarnation) = self.incarnations.remove(&link) else { return };
        if self.links.get(&incarnation) == Some(&link) {
            self.links.remove(&incarnation);
        }
        self.drop_queued(incarnation);
    }

    fn drop_queued(&mut self, incarnation: u64) {
        for endpoint in self.endpoints.values_mut() {
            let offers = &mut self.offers;
            endpoint.queue.retain(|offer| {
                let dropped = offer.id.incarnation == incarnation;
                if dropped {
                    offers.remove(offer);
                }
                !dropped
            });
        }
    }

    /// Handles an offer of an entry. Offers on any but the newest link of its incarnation are ignored.
    pub fn offer(&mut self, now: Micros, link: Link, offer: Offer) {
        let incarnation = offer.id.incarnation;
        if self.links.get(&incarnation) != Some(&link) {
            return;
        }
        self.forget_completed(incarnation, offer.oldest_open);
        let offer_id = OfferId { id: offer.id, attempt: offer.attempt };
        if self.offers.contains_key(&offer_id) {
            return;
        }
        if let Some(refusal) = self.refusal(&offer) {
            self.refuse(offer_id, offer.task, refusal);
            return;
        }
        let deadline = now.plus_ms(u64::from(offer.remaining_ms));
        let state = State::Queued { task: offer.task, content: offer.content, arrived: now };
        self.offers.insert(offer_id, Record { state, deadline });
        if let Some(endpoint) = self.endpoints.get_mut(&offer.task) {
            endpoint.queue.push_back(offer_id);
        }
        self.start_queued(now, offer.task);
    }

    /// Drops the results of requests below `oldest_open`, which their entry has completed.
    fn forget_completed(&mut self, incarnation: u64, oldest_open: u64) {
        while let Some((_, offer)) = self.retained.front() {
            if offer.id.incarnation != incarnation || offer.id.number >= oldest_open {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, offer)) = self.retained.pop_front() else { return };
        if let Some(Record { state: State::Done(answer), .. }) = self.offers.remove(&offer) {
            self.retained_bytes -= answer.body.len();
        }
    }

    fn refusal(&self, offer: &Offer) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        let Some(endpoint) = self.endpoints.get(&offer.task) else {
            return Some(Refusal::NoEndpoint);
        };
        if endpoint.leaving {
            return Some(Refusal::Leaving);
        }
        let capacity = endpoint.slots + endpoint.slots * QUEUE_PER_SLOT;
        let held = endpoint.running + endpoint.queue.len() as u32;
        (held >= capacity).then_some(Refusal::Full)
    }

    fn refuse(&mut self, offer: OfferId, task: u64, refusal: Refusal) {
        let grant = self.grant(task, offer.id.incarnation);
        let refuse = Refused { offer, refusal: refusal as i32, grant };
        self.send_to_entry(offer.id.incarnation, Body::Refused(refuse));
    }

    fn send_to_entry(&mut self, incarnation: u64, body: Body) {
        if let Some(link) = self.links.get(&incarnation) {
            self.outputs.push(AdmissionOutput::Send { link: *link, body });
        }
    }

    fn start_queued(&mut self, now: Micros, task: u64) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
            if endpoint.running >= endpoint.slots {
                return;
            }
            let Some(offer_id) = endpoint.queue.pop_front() else { return };
            let Some(record) = self.offers.get_mut(&offer_id) else { continue };
            if now >= record.deadline {
                self.offers.remove(&offer_id);
                self.refuse(offer_id, task, Refusal::Expired);
                continue;
            }
            endpoint.running += 1;
            *endpoint.running_by_entry.entry(offer_id.id.incarnation).or_default() += 1;
            let address = endpoint.address.clone();
            let deadline = record.deadline;
            let State::Queued { arrived, .. } = record.state else { continue };
            let running = State::Running { task, arrived, started: now };
            let State::Queued { content, .. } = std::mem::replace(&mut record.state, running)
            else {
                continue;
            };
            let run = Run { offer: offer_id, address, content, deadline };
            self.outputs.push(AdmissionOutput::Run(run));
        }
    }

    /// Handles a revocation by an entry: a queued offer is refused, a running one continues.
    pub fn revoke(&mut self, link: Link, offer: OfferId) {
        if self.links.get(&offer.id.incarnation) != Some(&link) {
            return;
        }
        let queued = self.offers.get(&offer).and_then(|record| match record.state {
            State::Queued { task, .. } => Some(task),
            _ => None,
        });
        let Some(task) = queued else { return };
        self.offers.remove(&offer);
        if let Some(endpoint) = self.endpoints.get_mut(&task) {
            endpoint.queue.retain(|other| *other != offer);
        }
        self.refuse(offer, task, Refusal::Revoked);
    }

    /// Handles the complete answer of an endpoint.
    pub fn answered(
        &mut self,
        now: Micros,
        offer: OfferId,
        status: u32,
        content_type: String,
        body: Vec<u8>,
    ) {
        let Some(released) = self.release(now, offer) else { return };
        let Released { task, arrived, started } = released;
        let answer = Answer {
            offer,
            status,
            content_type,
            body,
            service_us: saturating_u32(now.since(started)),
            queue_us: saturating_u32(started.since(arrived)),
            load: self.load(task),
            grant: self.grant(task, offer.id.incarnation),
        };
        self.retain_result(offer, State::Done(answer.clone()));
        self.send_to_entry(offer.id.incarnation, Body::Answer(answer));
    }

    /// Handles a call that certainly did not reach the endpoint: the offer did not run.
    pub fn unreachable(&mut self, now: Micros, offer: OfferId) {
        if let Some(Released { task, .. }) = self.release(now, offer) {
            self.offers.remove(&offer);
            self.refuse(offer, task, Refusal::Unreachable);
        }
    }

    /// Handles a call that may have reached the endpoint but got no complete answer.
    pub fn answer_lost(&mut self, now: Micros, offer: OfferId) {
        if self.release(now, offer).is_some() {
            self.retain_result(offer, State::Lost);
            self.send_to_entry(offer.id.incarnation, Body::AnswerLost(AnswerLost { offer }));
        }
    }

    /// Frees the slot of a running offer and starts queued ones.
    fn release(&mut self, now: Micros, offer: OfferId) -> Option<Released> {
        let record = self.offers.get(&offer)?;
        let State::Running { task, arrived, started } = record.state else { return None };
        if let Some(endpoint) = self.endpoints.get_mut(&task) {
            endpoint.running = endpoint.running.saturating_sub(1);
            if let Some(running) = endpoint.running_by_entry.get_mut(&offer.id.incarnation) {
                *running -= 1;
                if *running == 0 {
                    endpoint.running_by_entry.remove(&offer.id.incarnation);
                }
            }
            if endpoint.removed && endpoint.running == 0 {
                self.endpoints.remove(&task);
            }
        }
        self.start_queued(now, task);
        Some(Released { task, arrived, started })
    }

    /// Returns how many offers an entry may have open at an endpoint: those it has running there plus
    /// its share of the free slots. At least one, so that every entry learns of later changes.
    fn grant(&self, task: u64, incarnation: u64) -> u32 {
        let Some(endpoint) = self.endpoints.get(&task) else { return 1 };
        let own = endpoint.running_by_entry.get(&incarnation).copied().unwrap_or(0);
        let free = endpoint.slots.saturating_sub(endpoint.running + endpoint.queue.len() as u32);
        let entries = self.links.len().max(1) as u32;
        (own + free.div_ceil(entries)).max(1)
    }

    /// Returns the number of running and queued offers of an endpoint.
    fn load(&self, task: u64) -> u32 {
        self.endpoints.get(&task).map_or(0, |e| e.running + e.queue.len() as u32)
    }

    /// Retains the result of an offer until [`RETENTION_US`] after its deadline, in case the entry
    /// asks for its fate.
    fn retain_result(&mut self, offer: OfferId, state: State) {
        let Some(record) = self.offers.get_mut(&offer) else { return };
        if let State::Done(answer) = &state {
            self.retained_bytes += answer.body.len();
        }
        record.state = state;
        self.retained.push_back((record.deadline + RETENTION_US, offer));
        self.drop_oldest_answers();
    }

    /// Drops the oldest answers beyond [`MAX_RETAINED_BYTES`]; their offers are still known to have run.
    fn drop_oldest_answers(&mut self) {
        let mut index = 0;
        while self.retained_bytes > MAX_RETAINED_BYTES && index < self.retained.len() {
            let (_, offer) = self.retained[index];
            index += 1;
            let Some(record) = self.offers.get_mut(&offer) else { continue };
            if let State::Done(answer) = &record.state {
                self.retained_bytes -= answer.body.len();
                record.state = State::Lost;
            }
        }
    }

    /// Answers an entry that asks for the fate of offers made on an earlier link.
    pub fn report_fates(&mut self, link: Link, request: FateRequest) {
        for offer in request.offers {
            if self.links.get(&offer.id.incarnation) != Some(&link) {
                continue;
            }
            let (fate, answer) = match self.offers.get(&offer).map(|record| &record.state) {
                None | Some(State::Queued { .. }) => (Fate::NotRun, None),
                Some(State::Running { .. }) => (Fate::Running, None),
                Some(State::Done(answer)) => (Fate::Running, Some(answer.clone())),
                Some(State::Lost) => (Fate::Lost, None),
            };
            let report = FateReply { offer, fate: fate as i32 };
            self.outputs.push(AdmissionOutput::Send { link, body: Body::FateReply(report) });
            if let Some(answer) = answer {
                self.outputs.push(AdmissionOutput::Send { link, body: Body::Answer(answer) });
            }
        }
    }

    /// Refuses queued offers whose deadline has passed, and drops results after their retention time.
    pub fn tick(&mut self, now: Micros) {
        let expired: Vec<OfferId> = self
            .endpoints
            .values()
            .flat_map(|endpoint| &endpoint.queue)
            .filter(|offer| self.offers.get(offer).is_some_and(|record| now >= record.deadline))
            .copied()
            .collect();
        for offer in expired {
            let Some(Record { state: State::Queued { task, .. }, .. }) = self.offers.remove(&offer)
            else {
                continue;
            };
            if let Some(endpoint) = self.endpoints.get_mut(&task) {
                endpoint.queue.retain(|other| *other != offer);
            }
            self.refuse(offer, task, Refusal::Expired);
        }
        while self.retained.front().is_some_and(|(until, _)| now >= *until) {
            self.forget_oldest();
        }
    }
}
