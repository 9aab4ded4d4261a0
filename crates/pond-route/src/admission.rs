//! Admission in an endpoint process: slots, queues, and the fate of every offer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use pond_proto::Micros;
use pond_proto::view::Delta;
use pond_proto::wire::{
    Answer, Body, Broken, Content, Fate, FateAsk, FateTell, Leave, Offer, OfferId, Refusal, Refuse,
};

/// Offers that may wait for each slot of an endpoint.
const QUEUE_PER_SLOT: u32 = 1;

/// How long an answer is kept after its request's deadline, in microseconds.
const KEPT_US: u64 = 5_000_000;

/// Bytes of answers that are kept for links that may be made again.
const KEPT_BYTES: usize = 8 << 20;

/// Names one link of the process; the shell's key.
pub type Link = u64;

/// An offer that shall run now.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Which offer.
    pub offer: OfferId,
    /// The endpoint's address.
    pub address: String,
    /// What is passed on.
    pub content: Content,
    /// Until when an answer is of use.
    pub deadline: Micros,
}

/// Something the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionOutput {
    /// Call the endpoint, then tell the end by one of the methods of [`Admission`].
    Run(Run),
    /// Put a frame on a link.
    Send {
        /// Which link.
        link: Link,
        /// The frame.
        body: Body,
    },
}

/// Where an offer stands.
#[derive(Clone, Debug)]
enum State {
    Queued { task: u64, content: Content, arrived: Micros },
    Running { task: u64, arrived: Micros, started: Micros },
    Done(Answer),
    Lost,
}

#[derive(Clone, Debug)]
struct Held {
    state: State,
    deadline: Micros,
}

/// What is known of an offer that has ended.
struct Released {
    task: u64,
    arrived: Micros,
    started: Micros,
}

fn clamp(us: u64) -> u32 {
    us.min(u64::from(u32::MAX)) as u32
}

/// One endpoint behind the process.
#[derive(Clone, Debug, Default)]
struct Endpoint {
    address: String,
    slots: u32,
    running: u32,
    /// Running offers by their entry's life.
    held: BTreeMap<u64, u32>,
    queue: VecDeque<OfferId>,
    leaving: bool,
    gone: bool,
}

/// The admission of one endpoint process.
#[derive(Debug, Default)]
pub struct Admission {
    own_address: String,
    endpoints: BTreeMap<u64, Endpoint>,
    offers: HashMap<OfferId, Held>,
    /// The newest link of each entry's life. Older ones count as lost, whatever still comes in.
    links: HashMap<u64, Link>,
    lives: HashMap<Link, u64>,
    kept: VecDeque<(Micros, OfferId)>,
    kept_bytes: usize,
    term: u64,
    version: u64,
    leaving: bool,
    outputs: Vec<AdmissionOutput>,
}

impl Admission {
    /// The admission of the process that has that internal address.
    pub fn new(own_address: &str) -> Admission {
        Admission { own_address: own_address.to_owned(), ..Admission::default() }
    }

    /// Takes what the shell must do, in order.
    pub fn take_outputs(&mut self) -> Vec<AdmissionOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The version of the configuration in force here; zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Leaving endpoints that run and hold nothing any more.
    pub fn drained(&self) -> Vec<u64> {
        let quiet = |endpoint: &Endpoint| {
            (endpoint.leaving || self.leaving) && endpoint.running == 0 && endpoint.queue.is_empty()
        };
        self.endpoints.iter().filter(|(_, e)| quiet(e)).map(|(task, _)| *task).collect()
    }

    /// Offers that run or wait.
    pub fn under_way(&self) -> usize {
        self.endpoints.values().map(|e| e.running as usize + e.queue.len()).sum()
    }

    /// Takes in a step of the configuration; false if it does not follow on what is in force.
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
            let named: Vec<u64> = delta.endpoints.iter().map(|endpoint| endpoint.task).collect();
            let gone: Vec<u64> =
                self.endpoints.keys().filter(|task| !named.contains(task)).copied().collect();
            gone.into_iter().for_each(|task| self.endpoint_gone(task));
        }
        delta.gone.iter().for_each(|task| self.endpoint_gone(*task));
        let own: Vec<_> =
            delta.endpoints.into_iter().filter(|told| told.process == self.own_address).collect();
        for told in own {
            let endpoint = self.endpoints.entry(told.task).or_default();
            endpoint.address = told.address;
            endpoint.slots = told.slots.max(1);
            if told.leaving && !endpoint.leaving {
                self.leave(told.task);
            }
            if let Some(endpoint) = self.endpoints.get_mut(&told.task) {
                endpoint.leaving = told.leaving;
            }
            self.start_queued(now, told.task);
        }
        true
    }

    fn endpoint_gone(&mut self, task: u64) {
        self.leave(task);
        let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
        endpoint.gone = true;
        if endpoint.running == 0 {
            self.endpoints.remove(&task);
        }
    }

    /// From now on one endpoint takes nothing new; what waits for it is refused.
    pub fn leave(&mut self, task: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
        endpoint.leaving = true;
        let waiting: Vec<OfferId> = endpoint.queue.drain(..).collect();
        for offer in waiting {
            self.offers.remove(&offer);
            self.refuse(offer, task, Refusal::Leaving);
        }
        self.tell_all(Body::Leave(Leave { task }));
    }

    /// From now on the whole process takes nothing new.
    pub fn leave_all(&mut self) {
        self.leaving = true;
        let tasks: Vec<u64> = self.endpoints.keys().copied().collect();
        tasks.into_iter().for_each(|task| self.leave(task));
        self.tell_all(Body::Leave(Leave { task: 0 }));
    }

    fn tell_all(&mut self, body: Body) {
        let mut links: Vec<Link> = self.links.values().copied().collect();
        links.sort_unstable();
        for link in links {
            self.outputs.push(AdmissionOutput::Send { link, body: body.clone() });
        }
    }

    /// An entry's link is up. Older links of the same life count as lost from now on.
    pub fn link_up(&mut self, link: Link, life: u64) {
        if let Some(old) = self.links.insert(life, link) {
            self.lives.remove(&old);
            self.drop_queued(life);
        }
        self.lives.insert(link, life);
        if self.leaving {
            let body = Body::Leave(Leave { task: 0 });
            self.outputs.push(AdmissionOutput::Send { link, body });
        }
    }

    /// An entry's link is lost. What waits for it dies; what runs goes on.
    pub fn link_down(&mut self, link: Link) {
        let Some(life) = self.lives.remove(&link) else { return };
        if self.links.get(&life) == Some(&link) {
            self.links.remove(&life);
        }
        self.drop_queued(life);
    }

    fn drop_queued(&mut self, life: u64) {
        for endpoint in self.endpoints.values_mut() {
            let offers = &mut self.offers;
            endpoint.queue.retain(|offer| {
                let dies = offer.id.life == life;
                if dies {
                    offers.remove(offer);
                }
                !dies
            });
        }
    }

    /// An entry offers a request. Only the newest link of its life is listened to.
    pub fn offer(&mut self, now: Micros, link: Link, offer: Offer) {
        let life = offer.id.life;
        if self.links.get(&life) != Some(&link) {
            return;
        }
        self.forget_settled(life, offer.oldest_open);
        let name = OfferId { id: offer.id, attempt: offer.attempt };
        if self.offers.contains_key(&name) {
            return;
        }
        if let Some(refusal) = self.refusal(&offer) {
            self.refuse(name, offer.task, refusal);
            return;
        }
        let deadline = now.plus_ms(u64::from(offer.remaining_ms));
        let state = State::Queued { task: offer.task, content: offer.content, arrived: now };
        self.offers.insert(name, Held { state, deadline });
        if let Some(endpoint) = self.endpoints.get_mut(&offer.task) {
            endpoint.queue.push_back(name);
        }
        self.start_queued(now, offer.task);
    }

    /// Forgets ended offers of requests that their entry has settled.
    fn forget_settled(&mut self, life: u64, oldest_open: u64) {
        while let Some((_, offer)) = self.kept.front() {
            if offer.id.life != life || offer.id.number >= oldest_open {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, offer)) = self.kept.pop_front() else { return };
        if let Some(Held { state: State::Done(answer), .. }) = self.offers.remove(&offer) {
            self.kept_bytes -= answer.body.len();
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
        let room = endpoint.slots + endpoint.slots * QUEUE_PER_SLOT;
        let held = endpoint.running + endpoint.queue.len() as u32;
        (held >= room).then_some(Refusal::Full)
    }

    fn refuse(&mut self, offer: OfferId, task: u64, refusal: Refusal) {
        let grant = self.grant(task, offer.id.life);
        let refuse = Refuse { offer, refusal: refusal as i32, grant };
        self.send_to_life(offer.id.life, Body::Refuse(refuse));
    }

    fn send_to_life(&mut self, life: u64, body: Body) {
        if let Some(link) = self.links.get(&life) {
            self.outputs.push(AdmissionOutput::Send { link: *link, body });
        }
    }

    fn start_queued(&mut self, now: Micros, task: u64) {
        loop {
            let Some(endpoint) = self.endpoints.get_mut(&task) else { return };
            if endpoint.running >= endpoint.slots {
                return;
            }
            let Some(name) = endpoint.queue.pop_front() else { return };
            let Some(held) = self.offers.get_mut(&name) else { continue };
            if now >= held.deadline {
                self.offers.remove(&name);
                self.refuse(name, task, Refusal::Expired);
                continue;
            }
            endpoint.running += 1;
            *endpoint.held.entry(name.id.life).or_default() += 1;
            let address = endpoint.address.clone();
            let deadline = held.deadline;
            let State::Queued { arrived, .. } = held.state else { continue };
            let running = State::Running { task, arrived, started: now };
            let State::Queued { content, .. } = std::mem::replace(&mut held.state, running) else {
                continue;
            };
            let run = Run { offer: name, address, content, deadline };
            self.outputs.push(AdmissionOutput::Run(run));
        }
    }

    /// An entry asks not to start an offer. One that runs goes on.
    pub fn revoke(&mut self, link: Link, offer: OfferId) {
        if self.links.get(&offer.id.life) != Some(&link) {
            return;
        }
        let queued = self.offers.get(&offer).and_then(|held| match held.state {
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

    /// The endpoint gave its whole answer.
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
            service_us: clamp(now.since(started)),
            queue_us: clamp(started.since(arrived)),
            load: self.load(task),
            grant: self.grant(task, offer.id.life),
        };
        self.keep(offer, State::Done(answer.clone()));
        self.send_to_life(offer.id.life, Body::Answer(answer));
    }

    /// The call surely did not reach the endpoint: the offer did not run.
    pub fn unreachable(&mut self, now: Micros, offer: OfferId) {
        if let Some(Released { task, .. }) = self.release(now, offer) {
            self.offers.remove(&offer);
            self.refuse(offer, task, Refusal::Unreachable);
        }
    }

    /// The call may have reached the endpoint and has no whole answer.
    pub fn answer_lost(&mut self, now: Micros, offer: OfferId) {
        if self.release(now, offer).is_some() {
            self.keep(offer, State::Lost);
            self.send_to_life(offer.id.life, Body::Broken(Broken { offer }));
        }
    }

    /// Gives the slot of an offer back.
    fn release(&mut self, now: Micros, offer: OfferId) -> Option<Released> {
        let held = self.offers.get(&offer)?;
        let State::Running { task, arrived, started } = held.state else { return None };
        if let Some(endpoint) = self.endpoints.get_mut(&task) {
            endpoint.running = endpoint.running.saturating_sub(1);
            if let Some(held) = endpoint.held.get_mut(&offer.id.life) {
                *held -= 1;
                if *held == 0 {
                    endpoint.held.remove(&offer.id.life);
                }
            }
            if endpoint.gone && endpoint.running == 0 {
                self.endpoints.remove(&task);
            }
        }
        self.start_queued(now, task);
        Some(Released { task, arrived, started })
    }

    /// How many offers an entry may have open at an endpoint: what it has there, and its share of
    /// what is free. At least one, so that every entry hears of the endpoint again.
    fn grant(&self, task: u64, life: u64) -> u32 {
        let Some(endpoint) = self.endpoints.get(&task) else { return 1 };
        let held = endpoint.held.get(&life).copied().unwrap_or(0);
        let free = endpoint.slots.saturating_sub(endpoint.running + endpoint.queue.len() as u32);
        let entries = self.links.len().max(1) as u32;
        (held + free.div_ceil(entries)).max(1)
    }

    fn load(&self, task: u64) -> u32 {
        self.endpoints.get(&task).map_or(0, |e| e.running + e.queue.len() as u32)
    }

    /// Keeps what became of an offer, until nobody asks for it any more.
    fn keep(&mut self, offer: OfferId, state: State) {
        let Some(held) = self.offers.get_mut(&offer) else { return };
        if let State::Done(answer) = &state {
            self.kept_bytes += answer.body.len();
        }
        held.state = state;
        self.kept.push_back((held.deadline + KEPT_US, offer));
        self.drop_answers();
    }

    /// Drops the oldest answers beyond the limit; that they ran is still known.
    fn drop_answers(&mut self) {
        let mut place = 0;
        while self.kept_bytes > KEPT_BYTES && place < self.kept.len() {
            let (_, offer) = self.kept[place];
            place += 1;
            let Some(held) = self.offers.get_mut(&offer) else { continue };
            if let State::Done(answer) = &held.state {
                self.kept_bytes -= answer.body.len();
                held.state = State::Lost;
            }
        }
    }

    /// An entry asks for the fate of offers made on an earlier link.
    pub fn report_fates(&mut self, link: Link, ask: FateAsk) {
        for offer in ask.offers {
            if self.links.get(&offer.id.life) != Some(&link) {
                continue;
            }
            let (fate, answer) = match self.offers.get(&offer).map(|held| &held.state) {
                None | Some(State::Queued { .. }) => (Fate::NotRun, None),
                Some(State::Running { .. }) => (Fate::Running, None),
                Some(State::Done(answer)) => (Fate::Running, Some(answer.clone())),
                Some(State::Lost) => (Fate::Lost, None),
            };
            let tell = FateTell { offer, fate: fate as i32 };
            self.outputs.push(AdmissionOutput::Send { link, body: Body::FateTell(tell) });
            if let Some(answer) = answer {
                self.outputs.push(AdmissionOutput::Send { link, body: Body::Answer(answer) });
            }
        }
    }

    /// Lets time pass: offers that waited too long are refused, old fates are forgotten.
    pub fn tick(&mut self, now: Micros) {
        let expired: Vec<OfferId> = self
            .endpoints
            .values()
            .flat_map(|endpoint| &endpoint.queue)
            .filter(|offer| self.offers.get(offer).is_some_and(|held| now >= held.deadline))
            .copied()
            .collect();
        for offer in expired {
            let Some(Held { state: State::Queued { task, .. }, .. }) = self.offers.remove(&offer)
            else {
                continue;
            };
            if let Some(endpoint) = self.endpoints.get_mut(&task) {
                endpoint.queue.retain(|other| *other != offer);
            }
            self.refuse(offer, task, Refusal::Expired);
        }
        while self.kept.front().is_some_and(|(until, _)| now >= *until) {
            self.forget_oldest();
        }
    }
}
