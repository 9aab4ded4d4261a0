//! Answers, failures, and the completion of a request.

use pond_proto::Micros;
use pond_proto::wire::{Answer, OfferId, RequestId};

use super::claim::claim_end;
use super::{Output, Router};
use crate::endpoint::{EndpointKey, ProcessKey};
use crate::request::{Finish, NotRun, OfferState};

impl Router {
    /// Handles the complete answer of an endpoint.
    pub fn answered(&mut self, now: Micros, process: ProcessKey, answer: Answer) {
        if !self.was_offered_to(process, answer.offer) {
            return;
        }
        let id = answer.offer.id;
        let Some(closed) = self.close_offer(answer.offer) else { return };
        let taken_us = now.since(closed.at);
        let failed = answer.status >= 500;
        if let Some(endpoint) = self.table.get_mut(closed.endpoint) {
            // Failures are left out of the averages: a fast failure must not attract more requests.
            if !failed {
                endpoint.record_answer(now, taken_us, &answer);
                endpoint.health.record_success();
            }
        }
        if failed {
            self.endpoint_failed(now, closed.endpoint);
            if self.may_retry(now, id) {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.failure = Some(answer);
                }
                self.continue_after_not_run(now, id, NotRun::NoEndpoint);
                return;
            }
        }
        self.finish(now, id, Finish::Answered(answer));
    }

    /// Returns whether a request whose endpoint failed is retried, and charges the retry budget if so.
    pub(super) fn may_retry(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let in_time = now < pending.request.deadline && !pending.revoked;
        if !pending.request.repeatable || !in_time || pending.attempts >= self.tuning.attempts {
            return false;
        }
        let service = self.services.get_mut(&pending.request.content.service);
        service.is_some_and(|service| service.budget.withdraw())
    }

    /// Records a failure of an endpoint. Ejects it if its health calls for that, unless too large a
    /// share of the service's endpoints would then be out of use.
    pub(super) fn endpoint_failed(&mut self, now: Micros, key: EndpointKey) {
        let Some(endpoint) = self.table.get_mut(key) else { return };
        if !endpoint.health.record_failure() {
            return;
        }
        let service = endpoint.service.clone();
        let all = self.table.of_service(&service).count();
        let ejected = self.table.of_service(&service).filter(|e| !e.accepts_requests(now)).count();
        if (ejected + 1) as f64 <= all as f64 * self.tuning.eject_share
            && let Some(endpoint) = self.table.get_mut(key)
        {
            endpoint.health.eject(now);
        }
    }

    /// Handles an offer that may have run and whose answer is lost.
    pub fn answer_lost(&mut self, now: Micros, process: ProcessKey, offer: OfferId) {
        if !self.was_offered_to(process, offer) {
            return;
        }
        let Some(pending) = self.pending.get_mut(&offer.id) else { return };
        let found = pending.offers.iter_mut().find(|open| open.attempt == offer.attempt);
        let Some(open) = found.filter(|open| open.state != OfferState::Broken) else { return };
        open.state = OfferState::Broken;
        let key = open.endpoint;
        if let Some(endpoint) = self.table.get_mut(key) {
            endpoint.open_offers = endpoint.open_offers.saturating_sub(1);
        }
        self.endpoint_failed(now, key);
        self.continue_after_possible_run(now, offer.id);
    }

    /// Retries or finishes a request some of whose offers may have run; waits while one is open.
    pub(super) fn continue_after_possible_run(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let open = pending.offers.iter().any(|offer| offer.state == OfferState::Open);
        let unresolved = pending.offers.iter().any(|offer| offer.state == OfferState::Unresolved);
        if open {
            return;
        }
        if self.may_retry(now, id) {
            self.enqueue(now, id);
            return;
        }
        if !unresolved {
            self.finish(now, id, Finish::Unknown);
        }
    }

    /// Completes a request: reports the result to the caller, revokes other offers, ends the claim.
    pub(super) fn finish(&mut self, now: Micros, id: RequestId, finish: Finish) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let finish = pending.reconcile(finish);
        self.open_numbers.remove(&id.number);
        self.timers.remove(&(pending.wake, id));
        let service_name = pending.request.content.service.clone();
        for offer in &pending.offers {
            if offer.state == OfferState::Broken {
                continue;
            }
            if let Some(endpoint) = self.table.get_mut(offer.endpoint) {
                endpoint.open_offers = endpoint.open_offers.saturating_sub(1);
            }
            if offer.state == OfferState::Open {
                let offer_id = OfferId { id, attempt: offer.attempt };
                self.outputs.push(Output::Revoke { process: offer.process, offer: offer_id });
            }
        }
        if let Some(service) = self.services.get_mut(&service_name) {
            service.in_progress = service.in_progress.saturating_sub(1);
            if let Finish::Answered(answer) = &finish {
                service.latency.record(now.since(pending.arrived));
                service.record_answer(now, answer.service_us);
            }
        }
        if pending.claimed {
            self.outputs.push(Output::EndClaim(claim_end(&pending, &finish)));
        }
        self.outputs.push(Output::Finish { id, finish });
        let waits =
            self.services.get(&service_name).is_some_and(|service| !service.waiting.is_empty());
        if waits {
            self.offer_waiting(now, &service_name);
        }
    }
}
