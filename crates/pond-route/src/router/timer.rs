//! Timers: deadlines, retries and hedged requests.

use pond_proto::Micros;
use pond_proto::wire::{OfferId, RequestId};

use super::{Output, Router};
use crate::endpoint::EndpointKey;
use crate::request::{Finish, NotRun, OfferState, Pending, Stage};

/// Minimum time after which a request is hedged, in microseconds.
const MIN_HEDGE_DELAY_US: u64 = 1_000;

/// Number of answers needed before requests are hedged.
const MIN_HEDGE_SAMPLES: u32 = 100;

impl Router {
    /// Sets the next timer of a request: deadline, retry, revocation or hedge.
    pub(super) fn schedule_wake(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let mut wake = pending.request.deadline;
        if pending.not_before > now {
            wake = wake.min(pending.not_before);
        }
        if pending.stage == Stage::Offered && !pending.revoked {
            wake = wake.min(self.revoke_at(pending));
        }
        wake = self.hedge_at(pending).map_or(wake, |at| wake.min(at));
        let wake = wake.max(now + 1);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        self.timers.remove(&(pending.wake, id));
        pending.wake = wake;
        self.timers.insert((wake, id));
    }

    /// Returns when a request that has not started is revoked: shortly before its deadline.
    pub(super) fn revoke_at(&self, pending: &Pending) -> Micros {
        let total = pending.request.deadline.since(pending.arrived);
        let margin = self.tuning.revoke_us.min(total / 10);
        Micros(pending.request.deadline.0.saturating_sub(margin))
    }

    /// Processes timers that are due, and offers waiting requests.
    pub fn tick(&mut self, now: Micros) {
        while let Some((wake, id)) = self.timers.first().copied().filter(|(wake, _)| *wake <= now) {
            self.timers.remove(&(wake, id));
            self.wake(now, id);
            self.schedule_wake(now, id);
        }
        self.offer_all_waiting(now);
    }

    /// Does what is due for one request.
    pub(super) fn wake(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        if now >= pending.request.deadline {
            self.expire(now, id);
        } else if pending.stage == Stage::Claiming && now >= pending.not_before {
            self.request_claim(id);
        } else if pending.stage == Stage::Waiting && pending.not_before != Micros(0) {
            // The delay after a refusal or failure is over.
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.not_before = Micros(0);
            }
            self.enqueue(now, id);
        } else if pending.stage == Stage::Offered
            && !pending.revoked
            && now >= self.revoke_at(pending)
        {
            self.revoke_all(id);
        } else if self.hedge_at(pending).is_some_and(|at| now >= at) {
            self.hedge(now, id);
        }
    }

    /// Asks the endpoint processes not to start the open offers of a request.
    pub(super) fn revoke_all(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.revoked = true;
        let open = pending.offers.iter().filter(|offer| offer.state == OfferState::Open);
        for offer in open {
            let offer_id = OfferId { id, attempt: offer.attempt };
            self.outputs.push(Output::Revoke { process: offer.process, offer: offer_id });
        }
    }

    /// Finishes a request whose deadline has passed.
    pub(super) fn expire(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let finish = match pending.stage {
            Stage::Claiming if pending.held => Finish::Unknown,
            Stage::Claiming => Finish::NotRun(NotRun::NoQuorum),
            // If an offer may have run, `Pending::reconcile` turns this into `Unknown`.
            _ => Finish::NotRun(expired_reason(pending)),
        };
        if pending.stage == Stage::Claiming
            && !pending.held
            && let Some(pending) = self.pending.get_mut(&id)
        {
            // The claim may have been granted; ending it frees the key for a resend.
            pending.claimed = true;
        }
        self.finish(now, id, finish);
    }

    /// Returns when a repeatable request is offered a second time, if its first offer is still open
    /// then.
    pub(super) fn hedge_at(&self, pending: &Pending) -> Option<Micros> {
        if !self.tuning.hedge || !pending.request.repeatable || pending.hedged {
            return None;
        }
        let [offer] = pending.offers.as_slice() else { return None };
        let service = self.services.get(&pending.request.content.service)?;
        let p95 = service.latency.quantile(0.95, MIN_HEDGE_SAMPLES)?;
        (pending.stage == Stage::Offered).then_some(offer.at + p95.max(MIN_HEDGE_DELAY_US))
    }

    /// Offers a request to a second endpoint if one is free and the retry budget allows it.
    pub(super) fn hedge(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.hedged = true;
        let service = pending.request.content.service.clone();
        let tried: Vec<EndpointKey> = pending.offers.iter().map(|offer| offer.endpoint).collect();
        let Some(endpoint) = self.choose_endpoint(now, &service, &tried) else { return };
        let allowed = self.services.get_mut(&service).is_some_and(|s| s.budget.withdraw());
        if allowed {
            self.offer_to(now, id, endpoint);
        }
    }

    /// Handles a caller that has disconnected: offers that have not started are revoked.
    pub fn caller_left(&mut self, now: Micros, id: RequestId) {
        if self.pending.contains_key(&id) {
            self.revoke_all(id);
            self.expire(now, id);
        }
    }
}

/// Returns why a request did not run before its deadline.
fn expired_reason(pending: &Pending) -> NotRun {
    match pending.attempts {
        0 => pending.reason,
        _ => NotRun::Expired,
    }
}
