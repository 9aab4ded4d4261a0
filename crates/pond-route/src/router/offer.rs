//! Offers: from the queue of a service to an endpoint, and again after a refusal.

use pond_proto::Micros;
use pond_proto::wire::{Offer, OfferId, Refusal, Refuse, RequestId};
use rand::Rng;

use super::{Output, Router};
use crate::endpoint::{Endpoint, EndpointKey, ProcessKey};
use crate::policy::PolicyKind;
use crate::request::{Finish, NotRun, OfferState, Offered, Stage};

/// How long an endpoint is taken as full after it refused, in microseconds.
const FULL_US: u64 = 2_000;

impl Router {
    /// Puts a request into its service's queue, now or at its time.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
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

    pub(super) fn offer_all_waiting(&mut self, now: Micros) {
        let waiting = self.services.iter().filter(|(_, service)| !service.waiting.is_empty());
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.offer_waiting(now, name));
    }

    /// Offers waiting requests of a service, oldest first, as long as an endpoint is free.
    pub(super) fn offer_waiting(&mut self, now: Micros, name: &str) {
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
    pub(super) fn offer_one(&mut self, now: Micros, id: RequestId) -> bool {
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
    pub(super) fn choose(
        &mut self,
        now: Micros,
        service: &str,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
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

    pub(super) fn offer_to(&mut self, now: Micros, id: RequestId, key: EndpointKey) {
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
    pub(super) fn close(&mut self, offer: OfferId) -> Option<Offered> {
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
    pub fn offer_not_sent(&mut self, now: Micros, offer: OfferId) {
        if let Some(closed) = self.close(offer) {
            if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
                endpoint.full_until = now + FULL_US;
            }
            self.again(now, offer.id, NotRun::Overload);
        }
    }

    /// An endpoint process refused an offer: it did not and will not run.
    pub fn offer_refused(&mut self, now: Micros, process: ProcessKey, refuse: Refuse) {
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
    pub(super) fn is_from(&self, process: ProcessKey, offer: OfferId) -> bool {
        let flight = self.flights.get(&offer.id);
        let offers = flight.into_iter().flat_map(|flight| &flight.offers);
        offers.filter(|open| open.attempt == offer.attempt).any(|open| open.process == process)
    }

    /// Goes on with a request after one of its offers did not run.
    pub(super) fn again(&mut self, now: Micros, id: RequestId, reason: NotRun) {
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
}
