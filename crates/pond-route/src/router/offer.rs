//! Offers: how requests go from the queue of a service to an endpoint, and what follows a refusal.

use pond_proto::Micros;
use pond_proto::wire::{Offer, OfferId, Refusal, Refused, RequestId};
use rand::Rng;

use super::{Output, Router};
use crate::endpoint::{Endpoint, EndpointKey, ProcessKey};
use crate::policy::PolicyKind;
use crate::request::{Finish, NotRun, OfferState, SentOffer, Stage};

/// How long an endpoint counts as full after it refused an offer as such, in microseconds.
const FULL_BACKOFF_US: u64 = 2_000;

impl Router {
    /// Puts a request into its service's queue, now or once its retry delay is over.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.stage = Stage::Waiting;
        let service = pending.request.content.service.clone();
        let ready = pending.not_before <= now;
        self.schedule_wake(now, id);
        if !ready {
            return;
        }
        // A request that is offered again has waited already: it goes before newer ones.
        let retried = self.pending.get(&id).is_some_and(|pending| pending.attempts > 0);
        if let Some(service) = self.services.get_mut(&service) {
            if retried {
                service.waiting.push_front(id);
            } else {
                service.waiting.push_back(id);
            }
        }
        self.offer_waiting(now, &service);
    }

    /// Offers the waiting requests of all services.
    pub(super) fn offer_all_waiting(&mut self, now: Micros) {
        let waiting = self.services.iter().filter(|(_, service)| !service.waiting.is_empty());
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.offer_waiting(now, name));
    }

    /// Offers the waiting requests of a service, oldest first, until no endpoint is free.
    pub(super) fn offer_waiting(&mut self, now: Micros, name: &str) {
        while let Some(id) = self.services.get(name).and_then(|s| s.waiting.front().copied()) {
            let pending = self.pending.get(&id).filter(|pending| pending.stage == Stage::Waiting);
            let deadline = pending.map(|pending| pending.request.deadline);
            let in_time = deadline.is_some_and(|deadline| now < deadline);
            if in_time && !self.offer_to_best(now, id) {
                return;
            }
            if let Some(service) = self.services.get_mut(name) {
                service.waiting.pop_front();
            }
            if deadline.is_some() && !in_time {
                self.expire(now, id);
            }
        }
    }

    /// Offers a request to the best free endpoint; returns false if there is none.
    ///
    /// An endpoint that has already had an offer of this request is used only if no other is free,
    /// and never while that offer is still open.
    pub(super) fn offer_to_best(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let open = pending.offers.iter().filter(|offer| offer.state != OfferState::Broken);
        let open: Vec<EndpointKey> = open.map(|offer| offer.endpoint).collect();
        let tried: Vec<EndpointKey> = pending.offers.iter().map(|offer| offer.endpoint).collect();
        let service = pending.request.content.service.clone();
        let choice = self.choose_endpoint(now, &service, &tried).or_else(|| {
            if tried == open { None } else { self.choose_endpoint(now, &service, &open) }
        });
        let Some(endpoint) = choice else { return false };
        self.offer_to(now, id, endpoint);
        true
    }

    /// Chooses a free endpoint in the entry's data centre, or else a free one elsewhere.
    pub(super) fn choose_endpoint(
        &mut self,
        now: Micros,
        service: &str,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let granted = self.tuning.policy == PolicyKind::Grants;
        let usable = |endpoint: &&Endpoint| {
            let connected =
                self.table.process(endpoint.process).is_some_and(|p| p.incarnation.is_some());
            connected
                && endpoint.accepts_requests(now)
                && !endpoint.is_full(now, granted)
                && !tried.contains(&endpoint.key)
        };
        let all: Vec<&Endpoint> = self.table.of_service(service).filter(usable).collect();
        let local: Vec<&Endpoint> = all.iter().filter(|endpoint| endpoint.local).copied().collect();
        let candidates = if local.is_empty() { &all } else { &local };
        if candidates.is_empty() {
            return None;
        }
        Some(self.policy.pick(now, candidates, &mut self.rng))
    }

    /// Sends an offer of a request to an endpoint.
    pub(super) fn offer_to(&mut self, now: Micros, id: RequestId, key: EndpointKey) {
        let Some(endpoint) = self.table.get_mut(key) else { return };
        let process = endpoint.process;
        endpoint.open_offers += 1;
        let incarnation = self.table.process(process).and_then(|p| p.incarnation).unwrap_or(0);
        let oldest_open = self.open_numbers.first().copied().unwrap_or(0);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.attempts += 1;
        pending.stage = Stage::Offered;
        let attempt = pending.attempts;
        let state = OfferState::Open;
        pending.offers.push(SentOffer {
            attempt,
            endpoint: key,
            process,
            incarnation,
            at: now,
            state,
        });
        let remaining_us = pending.request.deadline.since(now);
        let offer = Offer {
            id,
            attempt,
            task: key.0,
            remaining_ms: (remaining_us / 1000).max(1) as u32,
            content: pending.request.content.clone(),
            oldest_open,
        };
        self.outputs.push(Output::Offer { process, offer });
        self.schedule_wake(now, id);
    }

    /// Removes an offer from its request, and from the endpoint's number of open offers.
    pub(super) fn close_offer(&mut self, offer: OfferId) -> Option<SentOffer> {
        let pending = self.pending.get_mut(&offer.id)?;
        let index = pending.offers.iter().position(|open| open.attempt == offer.attempt)?;
        let closed = pending.offers.remove(index);
        if closed.state != OfferState::Broken
            && let Some(endpoint) = self.table.get_mut(closed.endpoint)
        {
            endpoint.open_offers = endpoint.open_offers.saturating_sub(1);
        }
        Some(closed)
    }

    /// Handles an offer that could not be sent, and so did not run.
    pub fn offer_not_sent(&mut self, now: Micros, offer: OfferId) {
        if let Some(closed) = self.close_offer(offer) {
            if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
                endpoint.full_until = now + FULL_BACKOFF_US;
            }
            self.continue_after_not_run(now, offer.id, NotRun::Overload);
        }
    }

    /// Handles a refusal by an endpoint process: the offer did not run and will not.
    pub fn offer_refused(&mut self, now: Micros, process: ProcessKey, refuse: Refused) {
        if !self.was_offered_to(process, refuse.offer) {
            return;
        }
        let Some(closed) = self.close_offer(refuse.offer) else { return };
        let refusal = refuse.refusal();
        if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
            endpoint.grant = refuse.grant;
            match refusal {
                Refusal::Full => endpoint.full_until = now + FULL_BACKOFF_US,
                Refusal::Leaving | Refusal::NoEndpoint => endpoint.reported_leaving = true,
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
        self.continue_after_not_run(now, refuse.offer.id, reason);
    }

    /// Returns whether an offer was made to that process; messages about it from others are ignored.
    pub(super) fn was_offered_to(&self, process: ProcessKey, offer: OfferId) -> bool {
        let pending = self.pending.get(&offer.id);
        let offers = pending.into_iter().flat_map(|pending| &pending.offers);
        offers.filter(|open| open.attempt == offer.attempt).any(|open| open.process == process)
    }

    /// Retries or finishes a request after one of its offers did not run.
    pub(super) fn continue_after_not_run(&mut self, now: Micros, id: RequestId, reason: NotRun) {
        let backoff = self.tuning.backoff_us;
        let spread = self.rng.random_range(0..=backoff);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.reason = reason;
        if !pending.offers.is_empty() {
            self.continue_after_possible_run(now, id);
            return;
        }
        if pending.revoked || reason == NotRun::Expired || now >= pending.request.deadline {
            self.finish(now, id, Finish::NotRun(NotRun::Expired));
            return;
        }
        // Offers that did not run cost the endpoint nothing, but many refusals in a row must not
        // cause a busy loop. A full endpoint gets no offers for a while anyway.
        if pending.attempts > 1 && reason != NotRun::Overload {
            let doublings = (pending.attempts - 2).min(6);
            pending.not_before = now + (backoff << doublings) / 2 + spread;
        }
        self.enqueue(now, id);
    }
}
