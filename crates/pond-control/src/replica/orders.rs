//! Orders, claims and proposals, and the replies to those who wait for them.

use pond_link::LinkKey;
use pond_log::event;
use pond_proto::Millis;
use pond_proto::wire::{Body, ClaimEnd, ClaimReply, ClaimRequest, Verdict};
use pond_quorum::Input as QuorumInput;
use pond_state::{Change, Holder, KeptAnswer, Meta, Order as StateOrder, Reply};

use super::Replica;
use crate::input::NotLeader;
use crate::tickets::Waiter;

impl Replica {
    pub(super) fn order(
        &mut self,
        now: Millis,
        meta: Meta,
        order: StateOrder,
        reply: tokio::sync::oneshot::Sender<Result<Reply, NotLeader>>,
    ) {
        let meta = Meta { at: self.parts.clock.wall(), ..meta };
        self.propose(now, Change::Order { meta, order }, Waiter::Operator(reply));
    }

    pub(super) fn claim(&mut self, now: Millis, link: LinkKey, request: ClaimRequest) {
        let ticket = request.ticket;
        let change = Change::Claim {
            at: self.parts.clock.wall(),
            service: request.service,
            key: request.key,
            digest: request.digest,
            holder: Holder { incarnation: request.id.incarnation, number: request.id.number },
        };
        self.propose(now, change, Waiter::Claim { link, ticket });
    }

    pub(super) fn end_claim(&mut self, now: Millis, end: ClaimEnd) {
        let answer = end.answer.map(|answer| KeptAnswer {
            status: answer.status as u16,
            content_type: answer.content_type,
            body: answer.body,
        });
        let change = Change::Unclaim {
            at: self.parts.clock.wall(),
            service: end.service,
            key: end.key,
            holder: Holder { incarnation: end.id.incarnation, number: end.id.number },
            not_run: end.not_run,
            answer,
        };
        self.propose(now, change, Waiter::Own);
    }

    pub(super) fn propose(&mut self, now: Millis, change: Change, waiter: Waiter) {
        let data = change.encode();
        let own = matches!(waiter, Waiter::Own);
        let ticket = self.tickets.propose(waiter);
        if own {
            self.own_changes.insert(ticket, change);
        }
        if !self.core.ready() || self.abstains() {
            self.reject(ticket);
            return;
        }
        self.core.step(now, QuorumInput::Propose { ticket, data });
    }

    pub(super) fn reject(&mut self, ticket: u64) {
        let not_leader = NotLeader { leader: self.leader_operator() };
        let (waiter, read_state) = self.tickets.rejected(ticket);
        if let Some(read_state) = read_state {
            read_state(Err(not_leader.clone()));
        }
        if let Some(waiter) = waiter {
            self.reject_waiter(waiter, not_leader);
        }
        if let (Some(change), Some(leadership)) =
            (self.own_changes.remove(&ticket), &mut self.leadership)
        {
            leadership.reconciler.proposal_ended(&change);
        }
    }

    pub(super) fn reject_waiter(&self, waiter: Waiter, not_leader: NotLeader) {
        match waiter {
            Waiter::Operator(reply) => {
                let _ = reply.send(Err(not_leader));
            }
            Waiter::Claim { link, ticket } => {
                let verdict = Verdict::NoQuorum as i32;
                let message = ClaimReply { ticket, verdict, answer: None };
                self.publisher.send(link, Body::ClaimReply(message));
            }
            Waiter::Own => {}
        }
    }

    pub(super) fn answer_waiter(&self, waiter: Waiter, reply: Reply) {
        match waiter {
            Waiter::Operator(sender) => {
                match &reply {
                    Reply::Accepted { version, what } => event!(self.parts.log, CHANGE_ACCEPTED,
                        "version" => *version, "what" => what.clone()),
                    other => event!(self.parts.log, CHANGE_REFUSED,
                        "why" => format!("{other:?}")),
                }
                let _ = sender.send(Ok(reply));
            }
            Waiter::Claim { link, ticket } => {
                let Reply::Claim(decided) = reply else { return };
                let answer = decided.answer.map(|kept| pond_proto::wire::Answer {
                    status: u32::from(kept.status),
                    content_type: kept.content_type,
                    body: kept.body,
                    ..Default::default()
                });
                let message = ClaimReply { ticket, verdict: decided.verdict, answer };
                self.publisher.send(link, Body::ClaimReply(message));
            }
            Waiter::Own => {}
        }
    }

    /// Returns the leader's address for operators.
    pub(super) fn leader_operator(&self) -> Option<String> {
        let leader = self.core.leader()?;
        let replica = self.parts.replicas.iter().find(|replica| replica.name == leader.name)?;
        Some(replica.operator.to_string())
    }
}
