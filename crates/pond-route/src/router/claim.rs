//! Claims: the right to run a request that is not repeatable.

use pond_proto::Micros;
use pond_proto::wire::{ClaimAsk, ClaimEnd, ClaimTell, RequestId, Verdict};

use super::{Output, Router};
use crate::request::{Finish, Flight, NotRun, Stage};

/// How long until a claim that another request holds is asked again, in microseconds.
const HELD_US: u64 = 50_000;

impl Router {
    pub(super) fn ask_claim(&mut self, id: RequestId) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.stage = Stage::Claiming;
        flight.not_before = Micros(u64::MAX);
        let content = &flight.request.content;
        let ask = ClaimAsk {
            ticket,
            service: content.service.clone(),
            key: content.key.clone(),
            digest: digest(&content.body),
            id,
        };
        self.tickets.insert(ticket, id);
        self.outputs.push(Output::Claim(ask));
    }

    /// Control decided a claim.
    pub fn claim_decided(&mut self, now: Micros, tell: ClaimTell) {
        let verdict = tell.verdict();
        let Some(id) = self.tickets.remove(&tell.ticket) else { return };
        let Some(flight) = self.flights.get_mut(&id).filter(|f| f.stage == Stage::Claiming) else {
            // The caller is gone already; a claim that was granted is free again.
            return;
        };
        match verdict {
            Verdict::Granted => {
                flight.claimed = true;
                flight.held = false;
                flight.not_before = Micros(0);
                self.enqueue(now, id);
            }
            Verdict::Answered => match tell.answer {
                Some(answer) => self.finish(now, id, Finish::Answered(answer)),
                None => self.finish(now, id, Finish::Unknown),
            },
            Verdict::Held => {
                // Another request with this key is under way; its answer may come in time.
                flight.held = true;
                flight.not_before = now + HELD_US;
                self.plan_wake(now, id);
            }
            Verdict::Ended => self.finish(now, id, Finish::Unknown),
            Verdict::Mismatch => self.finish(now, id, Finish::NotRun(NotRun::KeyReused)),
            Verdict::Full => self.finish(now, id, Finish::NotRun(NotRun::ClaimsFull)),
            Verdict::NoQuorum => self.finish(now, id, Finish::NotRun(NotRun::NoQuorum)),
        }
    }

    /// A claim could not be asked, or its answer is lost: it did not run, as it was not offered.
    pub fn claim_failed(&mut self, now: Micros, ticket: u64) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        if self.flights.get(&id).is_some_and(|flight| flight.stage == Stage::Claiming) {
            self.expire(now, id);
        }
    }

    /// The link to control is lost: claims that were asked on it are not answered any more.
    pub fn control_lost(&mut self, now: Micros) {
        let mut tickets: Vec<u64> = self.tickets.keys().copied().collect();
        tickets.sort_unstable();
        tickets.into_iter().for_each(|ticket| self.claim_failed(now, ticket));
    }
}

/// How a claimed request ended, for control.
pub(super) fn end_of_claim(flight: &Flight, finish: &Finish) -> ClaimEnd {
    let content = &flight.request.content;
    ClaimEnd {
        service: content.service.clone(),
        key: content.key.clone(),
        id: flight.request.id,
        not_run: matches!(finish, Finish::NotRun(_)),
        answer: match finish {
            Finish::Answered(answer) => Some(answer.clone()),
            _ => None,
        },
    }
}

/// The checksum by which a reused key with another body is known.
fn digest(body: &[u8]) -> u32 {
    crc32c::crc32c(body)
}
