//! Claims: incarnations of the worker that have registered but not answered a call yet.
//!
//! A registration can arrive late, even after its incarnation has ended and another one has
//! registered at the same address. A registration alone is therefore not conclusive: only an
//! incarnation that answers a call is running. If an old incarnation were taken for the current
//! one, control would be notified that all runs of the current one have ended.

use pond_proto::Millis;

use super::due::UNRESPONSIVE_MS;
use super::{Core, Evidence, Observation, Output, Registration};
use crate::worker::{Answer, Call, Reply};

/// Number of claims that are kept, the newest. A network failure delays the registrations of
/// only a few incarnations.
const MAX_CLAIMS: usize = 4;

/// An incarnation that has registered but not answered yet.
#[derive(Debug)]
pub(super) struct Claim {
    registration: Registration,
    since: Millis,
    /// Whether a call to it is in flight.
    calling: bool,
}

impl Claim {
    /// Returns whether the claim is from this incarnation.
    pub fn is_of(&self, incarnation: &str) -> bool {
        self.registration.incarnation == incarnation
    }
}

impl Core {
    /// Records the registration of an incarnation other than the known one and calls it to see
    /// whether it answers.
    pub(super) fn claim(&mut self, now: Millis, registration: Registration) {
        let incarnation = registration.incarnation.clone();
        match self.claims.iter_mut().find(|claim| claim.is_of(&incarnation)) {
            Some(claim) if registration.sequence <= claim.registration.sequence => return,
            Some(claim) => claim.registration = registration,
            None => self.add_claim(now, registration),
        }
        self.query_claims();
        self.adopt_unanswered(now, &incarnation);
    }

    /// Adds a claim, and drops the oldest if there are too many.
    fn add_claim(&mut self, now: Millis, registration: Registration) {
        self.outputs.push(Output::Observed(Observation::Claimed {
            incarnation: registration.incarnation.clone(),
            pool: registration.pool.clone(),
            address: registration.address.clone(),
            known: self.incarnation().unwrap_or_default().to_owned(),
            silent_ms: now.since(self.answered_at),
        }));
        self.claims.push(Claim { registration, since: now, calling: false });
        let excess = self.claims.len().saturating_sub(MAX_CLAIMS);
        let displaced: Vec<Claim> = self.claims.drain(..excess).collect();
        for claim in displaced {
            let incarnation = claim.registration.incarnation;
            let observation = Observation::ClaimDropped { incarnation, displaced: true };
            self.outputs.push(Output::Observed(observation));
        }
    }

    /// Calls all claimed incarnations that have no call in flight.
    pub(super) fn query_claims(&mut self) {
        if !self.may_call() {
            return;
        }
        for claim in self.claims.iter_mut().filter(|claim| !claim.calling) {
            claim.calling = true;
            self.last_list_id += 1;
            self.outputs.push(Output::Call {
                address: claim.registration.address.clone(),
                incarnation: claim.registration.incarnation.clone(),
                token: self.term,
                list_id: self.last_list_id,
                call: Call::List { lease_end_ms: 0, committed: 0, wait_ms: 0 },
            });
        }
    }

    /// Handles the result of a call to a claimed incarnation.
    pub(super) fn claim_answer(
        &mut self,
        now: Millis,
        incarnation: &str,
        list_id: u64,
        answer: Answer,
    ) {
        let found = self.claims.iter().position(|claim| claim.is_of(incarnation));
        let Some(found) = found else { return };
        match answer.reply {
            // Its next registration causes another call.
            Reply::Unknown | Reply::NotSent => self.claims[found].calling = false,
            Reply::OtherLife | Reply::Restarted => {
                self.claims.remove(found);
                self.remember_ended(incarnation.to_owned());
                let incarnation = incarnation.to_owned();
                let observation = Observation::ClaimDropped { incarnation, displaced: false };
                self.outputs.push(Output::Observed(observation));
            }
            // No other answer identifies the incarnation that it comes from.
            reply if !matches!(reply, Reply::Listed { .. }) => self.claims[found].calling = false,
            _ => {
                self.adopt(now, found, Evidence::Successor);
                // The clock in the answer takes precedence over the one in the registration.
                self.clock_ms = answer.clock_ms.unwrap_or(self.clock_ms);
                self.list_answer(now, list_id, answer);
            }
        }
    }

    /// Adopts an incarnation that keeps registering without answering any call, once the known
    /// incarnation does not answer either. Control then learns that the previous one has ended.
    fn adopt_unanswered(&mut self, now: Millis, incarnation: &str) {
        let unresponsive = self.worker.is_none() || now.since(self.listed_at) >= UNRESPONSIVE_MS;
        let waited =
            |claim: &Claim| claim.is_of(incarnation) && now.since(claim.since) >= UNRESPONSIVE_MS;
        if let Some(found) = self.claims.iter().position(waited).filter(|_| unresponsive) {
            self.adopt(now, found, Evidence::Silence);
        }
    }

    /// Makes a claimed incarnation the current one, as the previous one has ended according to
    /// `evidence`.
    fn adopt(&mut self, now: Millis, found: usize, evidence: Evidence) {
        let registration = self.claims.remove(found).registration;
        self.reset(now, &registration.incarnation, evidence);
        self.outputs.push(Output::Observed(Observation::Adopted {
            incarnation: registration.incarnation.clone(),
            pool: registration.pool.clone(),
            address: registration.address.clone(),
        }));
        self.clock_ms = registration.clock_ms;
        self.worker = Some(registration);
        self.stop_unresolved(now);
    }
}
