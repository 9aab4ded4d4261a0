//! Claims: the exclusive right, granted by control, to run a request that is not repeatable.

use pond_proto::Micros;
use pond_proto::wire::{ClaimEnd, ClaimReply, ClaimRequest, RequestId, Verdict};

use super::{Output, Router};
use crate::request::{Finish, NotRun, Pending, Stage};

/// Delay before control is asked again for a claim that another request holds, in microseconds.
const HELD_RETRY_US: u64 = 50_000;

impl Router {
    /// Requests the claim of a request from control.
    pub(super) fn request_claim(&mut self, id: RequestId) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.stage = Stage::Claiming;
        pending.not_before = Micros(u64::MAX);
        let content = &pending.request.content;
        let request = ClaimRequest {
            ticket,
            service: content.service.clone(),
            key: content.key.clone(),
            digest: digest(&content.body),
            id,
        };
        self.tickets.insert(ticket, id);
        self.outputs.push(Output::Claim(request));
    }

    /// Handles control's decision on a claim.
    pub fn claim_decided(&mut self, now: Micros, decision: ClaimReply) {
        let verdict = decision.verdict();
        let Some(id) = self.tickets.remove(&decision.ticket) else { return };
        let Some(pending) = self.pending.get_mut(&id).filter(|p| p.stage == Stage::Claiming) else {
            // The request has already ended. Unless another request held the claim, `expire` has asked
            // control to free it.
            return;
        };
        match verdict {
            Verdict::Granted => {
                pending.claimed = true;
                pending.held = false;
                pending.not_before = Micros(0);
                self.enqueue(now, id);
            }
            Verdict::Answered => match decision.answer {
                Some(answer) => self.finish(now, id, Finish::Answered(answer)),
                None => self.finish(now, id, Finish::Unknown),
            },
            Verdict::Held => {
                // Another request with this key is in progress; its answer may come in time.
                pending.held = true;
                pending.not_before = now + HELD_RETRY_US;
                self.schedule_wake(now, id);
            }
            Verdict::Ended => self.finish(now, id, Finish::Unknown),
            Verdict::Mismatch => self.finish(now, id, Finish::NotRun(NotRun::KeyReused)),
            Verdict::Full => self.finish(now, id, Finish::NotRun(NotRun::ClaimsFull)),
            Verdict::NoQuorum => self.finish(now, id, Finish::NotRun(NotRun::NoQuorum)),
        }
    }

    /// Handles a claim that could not be sent or whose decision is lost. The request did not run, as
    /// it was not offered to any endpoint.
    pub fn claim_failed(&mut self, now: Micros, ticket: u64) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        if self.pending.get(&id).is_some_and(|pending| pending.stage == Stage::Claiming) {
            self.expire(now, id);
        }
    }

    /// Handles the loss of the link to control: claims sent on it will not be decided any more.
    pub fn control_lost(&mut self, now: Micros) {
        let mut tickets: Vec<u64> = self.tickets.keys().copied().collect();
        tickets.sort_unstable();
        tickets.into_iter().for_each(|ticket| self.claim_failed(now, ticket));
    }
}

/// Builds the report to control of how a claimed request ended.
pub(super) fn claim_end(pending: &Pending, finish: &Finish) -> ClaimEnd {
    let content = &pending.request.content;
    ClaimEnd {
        service: content.service.clone(),
        key: content.key.clone(),
        id: pending.request.id,
        not_run: matches!(finish, Finish::NotRun(_)),
        answer: match finish {
            Finish::Answered(answer) => Some(answer.clone()),
            _ => None,
        },
    }
}

/// Returns the checksum that detects a key that is reused with a different body.
fn digest(body: &[u8]) -> u32 {
    crc32c::crc32c(body)
}
