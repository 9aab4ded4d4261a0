//! The core of a replica: its state, the dispatch of inputs, and what all roles share.

use std::collections::BTreeSet;

use pond_proto::quorum::{Body, Entry, Envelope, HardState, Kind, Member, Members};
use pond_proto::{Millis, Span};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::follower::IncomingSnapshot;
use crate::io::{Input, Output, Rejection, SnapshotImage};
use crate::leader::LeaderState;
use crate::log::Log;
use crate::members::Lists;
use crate::tuning::Tuning;

/// The stored data from which a replica starts.
#[derive(Clone, Debug)]
pub struct Start {
    /// The identity of its disk.
    pub id: u64,
    /// Term, vote and commit index from the disk.
    pub hard: HardState,
    /// The newest snapshot from the disk.
    pub snapshot: Option<SnapshotImage>,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// The initial members, used while neither the log nor the snapshot names any.
    pub members: Members,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the voters whether they would elect it.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The role with its data.
#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(BTreeSet<u64>),
    Candidate(BTreeSet<u64>),
    Leader(LeaderState),
}

/// One replica of the quorum.
#[derive(Debug)]
pub struct Core {
    pub(crate) id: u64,
    pub(crate) tuning: Tuning,
    pub(crate) rng: SmallRng,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) lists: Lists,
    pub(crate) snapshot: Option<SnapshotImage>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) persisted: u64,
    pub(crate) emitted: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<u64>,
    pub(crate) heard: Option<Millis>,
    pub(crate) deadline: Millis,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) unwritten: Vec<Entry>,
    hard_written: HardState,
}

impl Core {
    /// Creates a replica that has just started.
    pub fn new(start: Start, tuning: Tuning, now: Millis) -> Core {
        let head = start.snapshot.as_ref().map(|image| &image.head);
        let base = head.map_or(0, |head| head.index);
        let members = head.map_or(start.members, |head| head.members.clone());
        let mut lists = Lists::new(base, members);
        for entry in &start.entries {
            lists.append(entry);
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
            emitted: log.last_index(),
            log,
            lists,
            snapshot: start.snapshot,
            state: State::Follower,
            leader: None,
            // Assumes that the previous incarnation heard from a leader just before it ended.
            heard: Some(now),
            deadline: now,
            incoming: None,
            outputs: Vec::new(),
            unwritten: Vec::new(),
            hard_written: start.hard,
        };
        core.reset_deadline(now);
        core.emit_committed();
        core
    }

    /// Processes one input.
    pub fn step(&mut self, now: Millis, input: Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.handle_message(now, message),
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
            Input::TransferLeadership => self.transfer_leadership(now),
            Input::Add(member) => self.add(member),
            Input::Remove(id) => self.remove(id),
        }
    }

    /// Returns what the caller must do, in order. Called after one or more steps.
    pub fn outputs(&mut self, now: Millis) -> Vec<Output> {
        self.flush(now);
        self.emit_committed();
        self.hard.commit = self.commit;
        let entries = std::mem::take(&mut self.unwritten);
        self.emitted = self.log.last_index();
        // A changed commit index alone needs no write, because it is only a hint for a restart.
        let must_persist = self.hard.term != self.hard_written.term
            || self.hard.vote != self.hard_written.vote
            || !entries.is_empty();
        let mut outputs = std::mem::take(&mut self.outputs);
        if must_persist {
            self.hard_written = self.hard;
            outputs.insert(0, Output::Persist { hard: Some(self.hard), entries });
        }
        // An installed snapshot replaces the files, so it must come before the entries that follow it.
        outputs.sort_by_key(|output| !matches!(output, Output::Install { .. }));
        outputs
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the term, the vote and the commit index.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Returns the leader, if this replica knows one.
    pub fn leader(&self) -> Option<&Member> {
        self.leader.and_then(|id| self.lists.current().get(id))
    }

    /// Returns when this replica last heard from a leader, or its own start time if it has not heard from one.
    pub fn heard(&self) -> Option<Millis> {
        self.heard
    }

    /// Returns the members according to the log.
    pub fn members(&self) -> &Members {
        self.lists.current()
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the number of applied entries since the last snapshot.
    pub fn uncompacted(&self) -> u64 {
        self.applied.saturating_sub(self.log.base_index())
    }

    /// Returns the term and the members at an applied index, for a snapshot of the state there.
    pub fn head_at(&self, index: u64) -> Option<pond_proto::quorum::SnapshotHeader> {
        let term = self.log.term(index)?;
        let members = self.lists.at(index).clone();
        Some(pond_proto::quorum::SnapshotHeader { index, term, members })
    }

    fn tick(&mut self, now: Millis) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.deadline {
            self.start_pre_vote(now);
        }
    }

    fn handle_message(&mut self, now: Millis, message: Envelope) {
        if message.to != self.id {
            return;
        }
        let Some(body) = message.body else { return };
        let from = message.from;
        // A pre-vote and its approval carry a term that no replica has adopted yet. A request that is
        // refused for the sake of the current leader must not raise the term either.
        let ignores_term = match &body {
            Body::VoteRequest(request) => {
                request.pre_vote || !self.accepts_candidate(now, request.leadership_transfer)
            }
            Body::VoteReply(reply) => reply.pre_vote && reply.granted,
            _ => false,
        };
        if message.term > self.hard.term && !ignores_term {
            let leader = matches!(body, Body::Append(_) | Body::SnapshotChunk(_)).then_some(from);
            self.become_follower(now, message.term, leader);
        }
        match body {
            Body::VoteRequest(request) => {
                self.handle_vote_request(now, from, message.term, request)
            }
            Body::VoteReply(reply) => self.handle_vote(now, from, message.term, reply),
            Body::Append(append) => self.handle_append(now, from, message.term, append),
            Body::AppendReply(reply) if message.term == self.hard.term => {
                self.handle_append_reply(now, from, reply);
            }
            Body::SnapshotChunk(chunk) => self.handle_chunk(now, from, message.term, chunk),
            Body::SnapshotChunkReply(reply) if message.term == self.hard.term => {
                self.handle_chunk_reply(now, from, reply);
            }
            Body::TakeOver(_) if message.term == self.hard.term => self.handle_take_over(now, from),
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

    /// Returns the shortest election timeout of a follower, as measured by the clock of a leader that
    /// may run slow.
    pub(crate) fn lease_span(&self) -> Span {
        let span = self.tuning.election_ms;
        span - span * self.tuning.drift_permille / 1000
    }

    pub(crate) fn message_to(&self, to: u64, body: Body) -> Envelope {
        Envelope { from: self.id, to, term: self.hard.term, body: Some(body) }
    }

    pub(crate) fn send(&mut self, to: u64, body: Body) {
        let message = self.message_to(to, body);
        self.outputs.push(Output::Send(message));
    }

    pub(crate) fn send_durable(&mut self, to: u64, body: Body) {
        let message = self.message_to(to, body);
        self.outputs.push(Output::SendDurable(message));
    }

    /// Appends an entry to the log, as leader.
    pub(crate) fn propose(&mut self, kind: Kind, data: Vec<u8>) -> Result<u64, Rejection> {
        let State::Leader(leading) = &self.state else { return Err(Rejection::NotLeader) };
        if leading.is_transferring_leadership() {
            return Err(Rejection::HandingOver);
        }
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard.term, kind: kind as i32, data };
        self.append_entry(entry);
        Ok(index)
    }

    pub(crate) fn append_entry(&mut self, entry: Entry) {
        if self.lists.append(&entry) {
            self.outputs.push(Output::MembersChanged(self.lists.current().clone()));
        }
        self.unwritten.push(entry.clone());
        self.log.push(entry);
    }

    fn persisted(&mut self, now: Millis) {
        self.persisted = self.emitted;
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit(now);
        }
    }

    pub(crate) fn emit_committed(&mut self) {
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
