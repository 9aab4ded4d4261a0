//! What time brings: deadlines, retries, hedges.

use pond_proto::Micros;
use pond_proto::wire::{OfferId, RequestId};

use super::{Output, Router};
use crate::endpoint::EndpointKey;
use crate::request::{Finish, Flight, NotRun, OfferState, Stage};

/// The shortest time after which a request is hedged, in microseconds.
const HEDGE_LEAST_US: u64 = 1_000;

/// Answers needed before hedging starts.
const HEDGE_SAMPLES: u32 = 100;

impl Router {
    /// Sets when a request is looked at again without anything happening to it.
    pub(super) fn plan_wake(&mut self, now: Micros, id: RequestId) {
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
    pub(super) fn revoke_at(&self, flight: &Flight) -> Micros {
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

    pub(super) fn wake(&mut self, now: Micros, id: RequestId) {
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

    pub(super) fn revoke_all(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.revoked = true;
        let open = flight.offers.iter().filter(|offer| offer.state == OfferState::Open);
        for offer in open {
            let name = OfferId { id, attempt: offer.attempt };
            self.outputs.push(Output::Revoke { process: offer.process, offer: name });
        }
    }

    /// The caller's time is over.
    pub(super) fn expire(&mut self, now: Micros, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else { return };
        let finish = match flight.stage {
            Stage::Claiming if flight.held => Finish::Unknown,
            Stage::Claiming => Finish::NotRun(NotRun::NoQuorum),
            // An offer that may have run makes it unknown, see `Flight::truth`.
            _ => Finish::NotRun(expired_reason(flight)),
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
    pub(super) fn hedge_at(&self, flight: &Flight) -> Option<Micros> {
        if !self.tuning.hedge || !flight.request.repeatable || flight.hedged {
            return None;
        }
        let [offer] = flight.offers.as_slice() else { return None };
        let service = self.services.get(&flight.request.content.service)?;
        let p95 = service.latency.quantile(0.95, HEDGE_SAMPLES)?;
        (flight.stage == Stage::Offered).then_some(offer.at + p95.max(HEDGE_LEAST_US))
    }

    pub(super) fn hedge(&mut self, now: Micros, id: RequestId) {
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
    pub fn caller_left(&mut self, now: Micros, id: RequestId) {
        if self.flights.contains_key(&id) {
            self.revoke_all(id);
            self.expire(now, id);
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
