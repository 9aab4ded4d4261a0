//! Elections: pre-vote, vote, and taking over leadership on request.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::quorum::{Body, Envelope, VoteReply, VoteRequest};

use crate::core::{Core, State};
use crate::io::Output;

impl Core {
    /// Whether this replica may abandon its leader for a candidate.
    ///
    /// It may not while it leads itself or has heard from a leader within the shortest election
    /// timeout, unless that leader requested the election.
    pub(crate) fn accepts_candidate(&self, now: Millis, leadership_transfer: bool) -> bool {
        if leadership_transfer {
            return true;
        }
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.heard.is_none_or(|heard| now.since(heard) >= self.tuning.election_ms)
    }

    pub(crate) fn start_pre_vote(&mut self, now: Millis) {
        self.reset_deadline(now);
        if !self.lists.current().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(BTreeSet::from([self.id]));
        self.outputs.push(Output::RoleChanged);
        if self.lists.current().majority() == 1 {
            self.start_vote(now, false);
            return;
        }
        self.request_votes(true, false);
    }

    pub(crate) fn start_vote(&mut self, now: Millis, leadership_transfer: bool) {
        self.reset_deadline(now);
        self.hard.term += 1;
        self.hard.vote = self.id;
        self.leader = None;
        self.state = State::Candidate(BTreeSet::from([self.id]));
        self.outputs.push(Output::RoleChanged);
        if self.lists.current().majority() == 1 {
            self.become_leader(now);
            return;
        }
        self.request_votes(false, leadership_transfer);
    }

    fn request_votes(&mut self, pre_vote: bool, leadership_transfer: bool) {
        let request = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            leadership_transfer,
        };
        let voters: Vec<u64> = self.lists.current().voters().filter(|id| *id != self.id).collect();
        for to in voters {
            let mut message = self.message_to(to, Body::VoteRequest(request));
            message.term += u64::from(pre_vote);
            // The candidate's vote for itself must be durable before it counts.
            let output =
                if pre_vote { Output::Send(message) } else { Output::SendDurable(message) };
            self.outputs.push(output);
        }
    }

    pub(crate) fn handle_vote_request(
        &mut self,
        now: Millis,
        from: u64,
        term: u64,
        request: VoteRequest,
    ) {
        let up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let willing = up_to_date && self.accepts_candidate(now, request.leadership_transfer);
        if request.pre_vote {
            let granted = willing && term > self.hard.term;
            let message = Envelope {
                from: self.id,
                to: from,
                term: if granted { term } else { self.hard.term },
                body: Some(Body::VoteReply(VoteReply { pre_vote: true, granted })),
            };
            self.outputs.push(Output::Send(message));
            return;
        }
        let vote_available = self.hard.vote == 0 || self.hard.vote == from;
        let granted = willing && term == self.hard.term && vote_available;
        if granted {
            self.hard.vote = from;
            self.reset_deadline(now);
        }
        self.send_durable(from, Body::VoteReply(VoteReply { pre_vote: false, granted }));
    }

    pub(crate) fn handle_vote(&mut self, now: Millis, from: u64, term: u64, reply: VoteReply) {
        if !reply.granted || !self.lists.current().is_voter(from) {
            return;
        }
        let majority = self.lists.current().majority();
        match &mut self.state {
            State::PreCandidate(votes) if reply.pre_vote && term == self.hard.term + 1 => {
                votes.insert(from);
                if votes.len() >= majority {
                    self.start_vote(now, false);
                }
            }
            State::Candidate(votes) if !reply.pre_vote && term == self.hard.term => {
                votes.insert(from);
                if votes.len() >= majority {
                    self.become_leader(now);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn handle_take_over(&mut self, now: Millis, from: u64) {
        if self.leader == Some(from) && self.lists.current().is_voter(self.id) {
            self.start_vote(now, true);
        }
    }
}
