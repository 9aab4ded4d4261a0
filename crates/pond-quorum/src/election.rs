//! Elections: pre-vote, vote, and taking over on request.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::quorum::{Body, Letter, VoteAsk, VoteTell};

use crate::core::{Core, State};
use crate::io::Output;

impl Core {
    /// Whether a candidate may make this replica leave its leader.
    ///
    /// Not while it leads itself with a majority or has heard from a leader a moment ago, unless
    /// that leader asked for it.
    pub(crate) fn may_disturb(&self, now: Millis, handover: bool) -> bool {
        if handover {
            return true;
        }
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.heard.is_none_or(|heard| now.since(heard) >= self.tuning.election_ms)
    }

    pub(crate) fn start_pre_vote(&mut self, now: Millis) {
        self.reset_deadline(now);
        if !self.lists.current().votes(self.id) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(BTreeSet::from([self.id]));
        self.outputs.push(Output::RoleChanged);
        if self.lists.current().majority() == 1 {
            self.start_vote(now, false);
            return;
        }
        self.ask_all(true, false);
    }

    pub(crate) fn start_vote(&mut self, now: Millis, handover: bool) {
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
        self.ask_all(false, handover);
    }

    fn ask_all(&mut self, pre: bool, handover: bool) {
        let ask = VoteAsk {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handover,
        };
        let voters: Vec<u64> = self.lists.current().voters().filter(|id| *id != self.id).collect();
        for to in voters {
            let mut letter = self.letter_to(to, Body::VoteAsk(ask));
            letter.term += u64::from(pre);
            // A vote for itself must last before it is counted on.
            let output = if pre { Output::Send(letter) } else { Output::SendDurable(letter) };
            self.outputs.push(output);
        }
    }

    pub(crate) fn vote_ask(&mut self, now: Millis, from: u64, term: u64, ask: VoteAsk) {
        let newer =
            (ask.last_term, ask.last_index) >= (self.log.last_term(), self.log.last_index());
        let willing = newer && self.may_disturb(now, ask.handover);
        if ask.pre {
            let granted = willing && term > self.hard.term;
            let letter = Letter {
                from: self.id,
                to: from,
                term: if granted { term } else { self.hard.term },
                body: Some(Body::VoteTell(VoteTell { pre: true, granted })),
            };
            self.outputs.push(Output::Send(letter));
            return;
        }
        let free = self.hard.vote == 0 || self.hard.vote == from;
        let granted = willing && term == self.hard.term && free;
        if granted {
            self.hard.vote = from;
            self.reset_deadline(now);
        }
        self.send_durable(from, Body::VoteTell(VoteTell { pre: false, granted }));
    }

    pub(crate) fn vote_tell(&mut self, now: Millis, from: u64, term: u64, tell: VoteTell) {
        if !tell.granted || !self.lists.current().votes(from) {
            return;
        }
        let majority = self.lists.current().majority();
        match &mut self.state {
            State::PreCandidate(votes) if tell.pre && term == self.hard.term + 1 => {
                votes.insert(from);
                if votes.len() >= majority {
                    self.start_vote(now, false);
                }
            }
            State::Candidate(votes) if !tell.pre && term == self.hard.term => {
                votes.insert(from);
                if votes.len() >= majority {
                    self.become_leader(now);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn take_over(&mut self, now: Millis, from: u64) {
        if self.leader == Some(from) && self.lists.current().votes(self.id) {
            self.start_vote(now, true);
        }
    }
}
