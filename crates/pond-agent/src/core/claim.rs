//! Lives of the worker that have registered and not answered a call yet.
//!
//! A registration may come late, even after the life that sent it is over and another one has
//! registered at the same address. So it proves nothing: only the life that answers a call is there.
//! Taking an old one for the new one would tell control that all runs of the living one are over.

use pond_proto::Millis;

use super::due::UNRESPONSIVE_MS;
use super::{Core, Output, Registration};
use crate::worker::{Answer, Call, Reply};

/// Claims that are kept, the newest: a cut holds back the registrations of a few lives at most.
const MAX_CLAIMS: usize = 4;

/// A life that has registered and not answered yet.
#[derive(Debug)]
pub(super) struct Claim {
    registration: Registration,
    since: Millis,
    /// A call to it is on its way.
    calling: bool,
}

impl Claim {
    /// Whether it is that life's.
    pub fn is_of(&self, incarnation: &str) -> bool {
        self.registration.incarnation == incarnation
    }
}

impl Core {
    /// A life registers that is not the known one. It is asked whether it is there.
    pub(super) fn claim(&mut self, now: Millis, registration: Registration) {
        let incarnation = registration.incarnation.clone();
        match self.claims.iter_mut().find(|claim| claim.is_of(&incarnation)) {
            Some(claim) if registration.sequence <= claim.registration.sequence => return,
            Some(claim) => claim.registration = registration,
            None => {
                self.claims.push(Claim { registration, since: now, calling: false });
                let excess = self.claims.len().saturating_sub(MAX_CLAIMS);
                self.claims.drain(..excess);
            }
        }
        self.query_claims();
        self.adopt_unanswered(now, &incarnation);
    }

    /// Asks all lives that claim to be there and have no call on its way.
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

    /// A life that claims to be there answered, or did not.
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
            // Its next registration asks again.
            Reply::Unknown | Reply::NotSent => self.claims[found].calling = false,
            Reply::OtherLife | Reply::Restarted => {
                self.claims.remove(found);
                self.remember_ended(incarnation.to_owned());
            }
            // No other answer tells which life of a worker it is from.
            reply if !matches!(reply, Reply::Listed { .. }) => self.claims[found].calling = false,
            _ => {
                self.adopt(now, found);
                // What it answers goes before what a registration said.
                self.clock_ms = answer.clock_ms.unwrap_or(self.clock_ms);
                self.list_answer(now, list_id, answer);
            }
        }
    }

    /// A life that registers again and again but answers nothing is believed once no other answers
    /// either, so that control learns that the former one is over.
    fn adopt_unanswered(&mut self, now: Millis, incarnation: &str) {
        let silent = self.worker.is_none() || now.since(self.listed_at) >= UNRESPONSIVE_MS;
        let waited =
            |claim: &Claim| claim.is_of(incarnation) && now.since(claim.since) >= UNRESPONSIVE_MS;
        if let Some(found) = self.claims.iter().position(waited).filter(|_| silent) {
            self.adopt(now, found);
        }
    }

    /// A life is the worker from now on.
    fn adopt(&mut self, now: Millis, found: usize) {
        let registration = self.claims.remove(found).registration;
        self.reset(now, &registration.incarnation);
        self.clock_ms = registration.clock_ms;
        self.worker = Some(registration);
        self.stop_unresolved(now);
    }
}
