//! Claims: incarnations of the worker that have registered but are not known to be running.
//!
//! Anyone can send a registration, and it can arrive late, even after its incarnation has ended and
//! another one has registered at the same address. Silence of the current incarnation says nothing
//! either: a worker that hangs keeps its runs until its lease has expired. A claimed incarnation
//! therefore becomes the current one only once it has answered a list, and only if this or other
//! evidence shows that the current one has ended. If a running incarnation were replaced, control
//! would be notified that its runs have ended, and would place them elsewhere as well.

use pond_proto::{Millis, Span};

use super::{Core, Evidence, Observation, Output, Registration};
use crate::worker::{Answer, Call, Reply};

/// Number of claims that are kept, the newest. A network failure delays the registrations of
/// only a few incarnations.
const MAX_CLAIMS: usize = 4;

/// A worker that has not answered for this long holds no lease, in milliseconds, not even one that
/// a previous process of this agent passed on. Platforms limit leases to about 10 s.
const MAX_LEASE_MS: Span = 30_000;

/// An incarnation that has registered and is not known to be running.
#[derive(Debug)]
pub(super) struct Claim {
    registration: Registration,
    /// Whether a call to it is in flight.
    calling: bool,
    /// Whether it was observed that it answers while the current incarnation has not ended.
    held: bool,
}

impl Claim {
    /// Returns whether the claim is from this incarnation.
    pub fn is_of(&self, incarnation: &str) -> bool {
        self.registration.incarnation == incarnation
    }
}

impl Core {
    /// Records the registration of an incarnation other than the current one and calls it to see
    /// whether it answers.
    pub(super) fn claim(&mut self, now: Millis, registration: Registration) {
        match self.claims.iter_mut().find(|claim| claim.is_of(&registration.incarnation)) {
            Some(claim) if registration.sequence <= claim.registration.sequence => return,
            Some(claim) => claim.registration = registration,
            None => self.add_claim(now, registration),
        }
        self.query_claims();
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
        self.claims.push(Claim { registration, calling: false, held: false });
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

    /// Handles the result of a call to a claimed incarnation. If it leaves open whether the
    /// incarnation is running, the next registration causes another call.
    pub(super) fn claim_answer(
        &mut self,
        now: Millis,
        incarnation: &str,
        list_id: u64,
        answer: Answer,
    ) {
        let found = self.claims.iter().position(|claim| claim.is_of(incarnation));
        let Some(found) = found else { return };
        self.claims[found].calling = false;
        match answer.reply {
            Reply::OtherLife | Reply::Restarted => {
                self.claims.remove(found);
                self.remember_ended(incarnation.to_owned());
                let incarnation = incarnation.to_owned();
                let observation = Observation::ClaimDropped { incarnation, displaced: false };
                self.outputs.push(Output::Observed(observation));
            }
            // No other answer identifies the incarnation that it comes from.
            Reply::Listed { .. } => match self.succession(now, found, list_id) {
                Some(evidence) => {
                    self.adopt(now, found, evidence);
                    // The clock in the answer takes precedence over the one in the registration.
                    self.clock_ms = answer.clock_ms.unwrap_or(self.clock_ms);
                    self.list_answer(now, list_id, answer);
                }
                None => self.hold_claim(now, found),
            },
            _ => {}
        }
    }

    /// Returns what shows that the current incarnation has ended, now that a claimed one has
    /// answered the list with this ID; `None` if it may still be running.
    ///
    /// Only one process accepts connections at an address. Between two that have both answered
    /// there, the order of calls and answers decides which one is the later: the list of the
    /// claimed one must have been requested after the last list of the current one was received.
    fn succession(&self, now: Millis, found: usize, list_id: u64) -> Option<Evidence> {
        let Some(worker) = &self.worker else { return Some(Evidence::Successor) };
        if worker.address == self.claims[found].registration.address {
            return (list_id > self.listed_before).then_some(Evidence::Successor);
        }
        let silent_ms = now.since(self.answered_at);
        let lease_expired = self.lease.lapsed || silent_ms >= MAX_LEASE_MS;
        (lease_expired && self.unreachable).then_some(Evidence::Expired)
    }

    /// Observes, once for each claim, that its incarnation answers but does not become the current
    /// one.
    fn hold_claim(&mut self, now: Millis, found: usize) {
        if std::mem::replace(&mut self.claims[found].held, true) {
            return;
        }
        self.outputs.push(Output::Observed(Observation::ClaimHeld {
            incarnation: self.claims[found].registration.incarnation.clone(),
            known: self.incarnation().unwrap_or_default().to_owned(),
            silent_ms: now.since(self.answered_at),
            lapsed: self.lease.lapsed,
        }));
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
