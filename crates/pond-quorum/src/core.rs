//! The core itself: its state, the dispatch of inputs, and what all roles share.

use std::collections::BTreeSet;

use pond_proto::quorum::{Body, Entry, Hard, Kind, Letter, Member, Members};
use pond_proto::{Millis, Span};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::follower::Incoming;
use crate::io::{Input, Output, Rejection, SnapshotImage};
use crate::leader::Leading;
use crate::log::Log;
use crate::members::Lists;
use crate::tuning::Tuning;

/// What a replica starts from.
#[derive(Clone, Debug)]
pub struct Start {
    /// The identity of its disk.
    pub id: u64,
    /// Term, vote and commit index from the disk.
    pub hard: Hard,
    /// The newest snapshot from the disk.
    pub snapshot: Option<SnapshotImage>,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// The members of the first start, used while the log and the snapshot name none.
    pub members: Members,
    /// Seed for random times.
    pub seed: u64,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The role with what belongs to it.
#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(BTreeSet<u64>),
    Candidate(BTreeSet<u64>),
    Leader(Leading),
}

/// One replica of the quorum.
#[derive(Debug)]
pub struct Core {
    pub(crate) id: u64,
    pub(crate) tuning: Tuning,
    pub(crate) rng: SmallRng,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) lists: Lists,
    pub(crate) snapshot: Option<SnapshotImage>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) persisted: u64,
    pub(crate) handed_out: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<u64>,
    pub(crate) heard: Option<Millis>,
    pub(crate) deadline: Millis,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) unwritten: Vec<Entry>,
    hard_written: Hard,
}

impl Core {
    /// A replica that has just started.
    pub fn new(start: Start, tuning: Tuning, now: Millis) -> Core {
        let head = start.snapshot.as_ref().map(|image| &image.head);
        let base = head.map_or(0, |head| head.index);
        let members = head.map_or(start.members, |head| head.members.clone());
        let mut lists = Lists::new(base, members);
        for entry in &start.entries {
            lists.take(entry);
        }
        let log = Log::new(head, start.entries);
        let mut core = Core {
            id: start.id,
            tuning,
            rng: SmallRng::seed_from_u64(start.seed),
            hard: start.hard,
            commit: base.max(start.hard.commit.min(log.last_index())),
            applied: base,
            persisted: log.last_index(),
            handed_out: log.last_index(),
            log,
            lists,
            snapshot: start.snapshot,
            state: State::Follower,
            leader: None,
            // As if it had just heard from a leader: it may have, in its life before.
            heard: Some(now),
            deadline: now,
            incoming: None,
            outputs: Vec::new(),
            unwritten: Vec::new(),
            hard_written: start.hard,
        };
        core.reset_deadline(now);
        core.hand_out_committed();
        core
    }

    /// Takes in one input.
    pub fn step(&mut self, now: Millis, input: Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(letter) => self.letter(now, letter),
            Input::Propose { ticket, data } => match self.propose(Kind::Change, data) {
                Ok(index) => {
                    let term = self.hard.term;
                    self.outputs.push(Output::Appended { ticket, index, term });
                }
                Err(rejection) => self.outputs.push(Output::Rejected { ticket, rejection }),
            },
            Input::Read { ticket } => self.read(ticket),
            Input::Persisted => self.persisted(now),
            Input::Compact(image) => self.compact(image),
            Input::HandOver => self.hand_over(now),
            Input::Add(member) => self.add(member),
            Input::Remove(id) => self.remove(id),
        }
    }

    /// Hands out what the shell must do, in order; called after one or more steps.
    pub fn outputs(&mut self, now: Millis) -> Vec<Output> {
        self.flush(now);
        self.hand_out_committed();
        self.hard.commit = self.commit;
        let entries = std::mem::take(&mut self.unwritten);
        self.handed_out = self.log.last_index();
        // The commit index alone is worth no write: it is only a hint for a restart.
        let must = self.hard.term != self.hard_written.term
            || self.hard.vote != self.hard_written.vote
            || !entries.is_empty();
        let mut outputs = std::mem::take(&mut self.outputs);
        if must {
            self.hard_written = self.hard;
            outputs.insert(0, Output::Persist { hard: Some(self.hard), entries });
        }
        // An installed snapshot replaces the files, so it goes before entries that follow it.
        outputs.sort_by_key(|output| !matches!(output, Output::Install { .. }));
        outputs
    }

    /// The identity of this replica.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The role now.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The term now.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.and_then(|id| self.lists.current().get(id))
    }

    /// When this replica last heard from a leader; at its start as if it just had.
    pub fn heard(&self) -> Option<Millis> {
        self.heard
    }

    /// The members in force.
    pub fn members(&self) -> &Members {
        self.lists.current()
    }

    /// Index of the last entry known to be accepted.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Entries in memory since the last snapshot.
    pub fn uncompacted(&self) -> u64 {
        self.applied.saturating_sub(self.log.base_index())
    }

    /// The members and term at an applied index, for a snapshot of the state there.
    pub fn head_at(&self, index: u64) -> Option<pond_proto::quorum::SnapshotHead> {
        let term = self.log.term(index)?;
        let members = self.lists.at(index).clone();
        Some(pond_proto::quorum::SnapshotHead { index, term, members })
    }

    fn tick(&mut self, now: Millis) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.deadline {
            self.start_pre_vote(now);
        }
    }

    fn letter(&mut self, now: Millis, letter: Letter) {
        if letter.to != self.id {
            return;
        }
        let Some(body) = letter.body else { return };
        let from = letter.from;
        // A pre-vote and its refusal carry a term that nobody has taken yet.
        let hypothetical = match &body {
            Body::VoteAsk(ask) => ask.pre || !self.may_disturb(now, ask.handover),
            Body::VoteTell(tell) => tell.pre && tell.granted,
            _ => false,
        };
        if letter.term > self.hard.term && !hypothetical {
            let leader = matches!(body, Body::Append(_) | Body::Chunk(_)).then_some(from);
            self.become_follower(now, letter.term, leader);
        }
        match body {
            Body::VoteAsk(ask) => self.vote_ask(now, from, letter.term, ask),
            Body::VoteTell(tell) => self.vote_tell(now, from, letter.term, tell),
            Body::Append(append) => self.append(now, from, letter.term, append),
            Body::AppendTell(tell) if letter.term == self.hard.term => {
                self.append_tell(now, from, tell);
            }
            Body::Chunk(chunk) => self.chunk(now, from, letter.term, chunk),
            Body::ChunkTell(tell) if letter.term == self.hard.term => {
                self.chunk_tell(now, from, tell);
            }
            Body::TakeOver(_) if letter.term == self.hard.term => self.take_over(now, from),
            _ => {}
        }
    }

    pub(crate) fn become_follower(&mut self, now: Millis, term: u64, leader: Option<u64>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = 0;
        }
        self.fail_reads();
        self.state = State::Follower;
        self.leader = leader;
        self.reset_deadline(now);
        self.outputs.push(Output::RoleChanged);
    }

    pub(crate) fn reset_deadline(&mut self, now: Millis) {
        let span = self.tuning.election_ms;
        self.deadline = now + self.rng.random_range(span..span * 2);
    }

    /// The shortest time after which a follower that hears nothing asks for votes, on the clock
    /// of a leader that may be slow.
    pub(crate) fn lease_span(&self) -> Span {
        let span = self.tuning.election_ms;
        span - span * self.tuning.drift_permille / 1000
    }

    pub(crate) fn letter_to(&self, to: u64, body: Body) -> Letter {
        Letter { from: self.id, to, term: self.hard.term, body: Some(body) }
    }

    pub(crate) fn send(&mut self, to: u64, body: Body) {
        let letter = self.letter_to(to, body);
        self.outputs.push(Output::Send(letter));
    }

    pub(crate) fn send_durable(&mut self, to: u64, body: Body) {
        let letter = self.letter_to(to, body);
        self.outputs.push(Output::SendDurable(letter));
    }

    /// Appends an entry as leader.
    pub(crate) fn propose(&mut self, kind: Kind, data: Vec<u8>) -> Result<u64, Rejection> {
        let State::Leader(leading) = &self.state else { return Err(Rejection::NotLeader) };
        if leading.handing_over() {
            return Err(Rejection::HandingOver);
        }
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard.term, kind: kind as i32, data };
        self.append_entry(entry);
        Ok(index)
    }

    pub(crate) fn append_entry(&mut self, entry: Entry) {
        if self.lists.take(&entry) {
            self.outputs.push(Output::MembersChanged(self.lists.current().clone()));
        }
        self.unwritten.push(entry.clone());
        self.log.push(entry);
    }

    fn persisted(&mut self, now: Millis) {
        self.persisted = self.handed_out;
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit(now);
        }
    }

    pub(crate) fn hand_out_committed(&mut self) {
        if self.commit <= self.applied {
            return;
        }
        let entries = self.log.range(self.applied + 1, self.commit, usize::MAX);
        self.applied += entries.len() as u64;
        if !entries.is_empty() {
            self.outputs.push(Output::Apply(entries));
        }
    }

    fn compact(&mut self, image: SnapshotImage) {
        if image.head.index > self.applied {
            return;
        }
        self.log.compact(image.head.index);
        self.lists.compact(image.head.index);
        self.snapshot = Some(image);
    }
}
