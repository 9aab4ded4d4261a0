//! Answers and failures, and the end of a request.

use pond_proto::Micros;
use pond_proto::wire::{Answer, OfferId, RequestId};

use super::claim::end_of_claim;
use super::{Output, Router};
use crate::endpoint::{EndpointKey, ProcessKey};
use crate::request::{Finish, NotRun, OfferState};

impl Router {
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
                    flight.failure = Some(answer);
                }
                self.again(now, id, NotRun::NoEndpoint);
                return;
            }
        }
        self.finish(now, id, Finish::Answered(answer));
    }

    /// Whether a repeatable request whose endpoint failed is sent once more.
    pub(super) fn may_retry(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(flight) = self.flights.get(&id) else { return false };
        let in_time = now < flight.request.deadline && !flight.revoked;
        if !flight.request.repeatable || !in_time || flight.attempts >= self.tuning.attempts {
            return false;
        }
        let service = self.services.get_mut(&flight.request.content.service);
        service.is_some_and(|service| service.budget.spend())
    }

    pub(super) fn endpoint_failed(&mut self, now: Micros, key: EndpointKey) {
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
    pub fn answer_lost(&mut self, now: Micros, process: ProcessKey, offer: OfferId) {
        if !self.is_from(process, offer) {
            return;
        }
        let Some(flight) = self.flights.get_mut(&offer.id) else { return };
        let found = flight.offers.iter_mut().find(|open| open.attempt == offer.attempt);
        let Some(open) = found.filter(|open| open.state != OfferState::Broken) else { return };
        open.state = OfferState::Broken;
        let key = open.endpoint;
        if let Some(endpoint) = self.table.get_mut(key) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
        self.endpoint_failed(now, key);
        self.settle(now, offer.id);
    }

    /// Decides on a request some of whose offers may have run.
    pub(super) fn settle(&mut self, now: Micros, id: RequestId) {
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

    /// Ends a request: its caller is told, other offers of it are revoked, its claim is ended.
    pub(super) fn finish(&mut self, now: Micros, id: RequestId, finish: Finish) {
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
