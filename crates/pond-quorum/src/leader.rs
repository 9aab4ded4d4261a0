//! The leader's part: replication, commit, reads, members, and the transfer of leadership.

use std::collections::{BTreeMap, VecDeque};

use pond_proto::Millis;
use pond_proto::quorum::{
    Append, AppendReply, Body, Kind, Member, Members, SnapshotChunk, SnapshotChunkReply, TakeOver,
};
use prost::Message;

use crate::core::{Core, State};
use crate::io::{Output, Rejection, Ticket};
use crate::progress::Progress;
use crate::tuning::Tuning;

/// A read that waits until a majority confirms the leader.
#[derive(Debug)]
struct Read {
    ticket: Ticket,
    index: u64,
    round: u64,
}

/// The state of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    progress: BTreeMap<u64, Progress>,
    first_index: u64,
    round: u64,
    /// The recent rounds of heartbeats and when each was sent.
    rounds: VecDeque<(u64, Millis)>,
    reads: VecDeque<Read>,
    heartbeat_sent: Millis,
    since: Millis,
    transfer: Option<(u64, Millis)>,
}

impl LeaderState {
    pub(crate) fn is_transferring_leadership(&self) -> bool {
        self.transfer.is_some()
    }
}

/// Maximum number of rounds whose sending time is kept.
const MAX_ROUNDS: usize = 4096;

impl Core {
    pub(crate) fn become_leader(&mut self, now: Millis) {
        let last = self.log.last_index();
        let others = self.lists.current().list.iter().filter(|member| member.id != self.id);
        let progress = others.map(|member| (member.id, Progress::new(last))).collect();
        self.leader = Some(self.id);
        self.state = State::Leader(LeaderState {
            progress,
            first_index: last + 1,
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            heartbeat_sent: now,
            since: now,
            transfer: None,
        });
        // The first entry holds the members, so that all replicas agree on them.
        let members = self.lists.current().encode_to_vec();
        let _ = self.propose(Kind::Members, members);
        self.outputs.push(Output::RoleChanged);
        self.broadcast(now);
    }

    /// Whether this replica leads and has committed an entry of its own term.
    pub fn ready(&self) -> bool {
        match &self.state {
            State::Leader(leading) => self.commit >= leading.first_index,
            _ => false,
        }
    }

    /// Returns until when no other replica can lead, on this replica's clock; `None` if this replica does
    /// not lead or is transferring leadership.
    ///
    /// The lease starts when the leader sent the last round that a majority answered. That majority elects
    /// no other replica before the election timeout has passed.
    pub fn lease_until(&self) -> Option<Millis> {
        let State::Leader(leading) = &self.state else { return None };
        if leading.is_transferring_leadership() {
            return None;
        }
        Some(self.majority_heard()? + self.lease_span())
    }

    /// Returns the index up to which a follower has acknowledged the log; `None` if this replica does not
    /// lead or knows no such follower.
    pub fn acknowledged(&self, id: u64) -> Option<u64> {
        let State::Leader(leading) = &self.state else { return None };
        leading.progress.get(&id).map(|progress| progress.matched)
    }

    /// Returns the latest time at which a majority, which includes this replica, still followed it.
    fn majority_heard(&self) -> Option<Millis> {
        let State::Leader(leading) = &self.state else { return None };
        let members = self.lists.current();
        let heard = |id| match leading.progress.get(&id) {
            Some(progress) => progress.heard,
            None if id == self.id => Millis(u64::MAX),
            None => Millis(0),
        };
        let mut times: Vec<Millis> = members.voters().map(heard).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let decisive = times.get(members.majority() - 1).copied()?;
        Some(if decisive == Millis(u64::MAX) { Millis(u64::MAX / 2) } else { decisive })
    }

    pub(crate) fn tick_leader(&mut self, now: Millis) {
        let timeout = self.tuning.election_ms * 2;
        let heard = self.majority_heard().unwrap_or(now);
        let State::Leader(leading) = &mut self.state else { return };
        if now.since(heard) > timeout && now.since(leading.since) > timeout {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if leading.transfer.is_some_and(|(_, until)| now >= until) {
            // The request to take over may still be in transit, so the lease of this term is no longer safe.
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if now.since(leading.heartbeat_sent) >= self.tuning.heartbeat_ms {
            self.broadcast(now);
        }
        self.promote(now);
    }

    /// Starts a new round of heartbeats.
    fn broadcast(&mut self, now: Millis) {
        let State::Leader(leading) = &mut self.state else { return };
        leading.round += 1;
        leading.heartbeat_sent = now;
        leading.rounds.push_back((leading.round, now));
        if leading.rounds.len() > MAX_ROUNDS {
            leading.rounds.pop_front();
        }
        let ids: Vec<u64> = leading.progress.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(now, id);
        }
    }

    fn send_heartbeat(&mut self, now: Millis, to: u64) {
        let election_ms = self.tuning.election_ms;
        let State::Leader(leading) = &mut self.state else { return };
        let round = leading.round;
        let Some(progress) = leading.progress.get_mut(&to) else { return };
        // Lost answers must not keep the send window closed forever. Answers to heartbeats also reduce
        // the number of appends in flight, so a loss also shows by entries that were sent and are not
        // acknowledged.
        let unanswered = progress.in_flight > 0 || progress.unacknowledged();
        if unanswered && now.since(progress.sent) > election_ms {
            progress.in_flight = 0;
            progress.next = progress.matched + 1;
            progress.probing = true;
        }
        let stalled = progress.snapshot.is_some() && now.since(progress.sent) > election_ms;
        let previous = match (progress.snapshot, progress.probing) {
            (Some(_), _) => 0,
            (None, true) => progress.next - 1,
            (None, false) => progress.matched,
        };
        // If that entry was compacted, the heartbeat refers to the start of the log, which fits every log.
        let (previous, term) = self.log.term(previous).map_or((0, 0), |term| (previous, term));
        if stalled {
            self.send_chunk(now, to);
        }
        let append = Append {
            previous_index: previous,
            previous_term: term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        };
        self.send(to, Body::Append(append));
    }

    /// Sends entries that have not been sent yet, as far as the send windows allow.
    pub(crate) fn flush(&mut self, now: Millis) {
        let State::Leader(leading) = &mut self.state else { return };
        let waiting = leading.reads.back().is_some_and(|read| read.round > leading.round);
        if waiting {
            self.broadcast(now);
        }
        let State::Leader(leading) = &mut self.state else { return };
        let ids: Vec<u64> = leading.progress.keys().copied().collect();
        for id in ids {
            while self.send_entries(now, id) {}
        }
    }

    /// Sends one append with entries. Returns `false` if none can be sent now.
    fn send_entries(&mut self, now: Millis, to: u64) -> bool {
        let window = self.tuning.max_in_flight;
        let last = self.log.last_index();
        let State::Leader(leading) = &mut self.state else { return false };
        let round = leading.round;
        let Some(progress) = leading.progress.get_mut(&to) else { return false };
        let window = if progress.probing { 1 } else { window };
        if progress.next > last || progress.in_flight >= window || progress.snapshot.is_some() {
            return false;
        }
        let previous = progress.next - 1;
        let Some(previous_term) = self.log.term(previous) else {
            self.send_chunk(now, to);
            return false;
        };
        let entries = self.log.range(progress.next, last, self.tuning.max_append_bytes);
        if !progress.probing {
            progress.next += entries.len() as u64;
        }
        progress.in_flight += 1;
        progress.sent = now;
        let append =
            Append { previous_index: previous, previous_term, entries, commit: self.commit, round };
        self.send(to, Body::Append(append));
        true
    }

    pub(crate) fn handle_append_reply(&mut self, now: Millis, from: u64, reply: AppendReply) {
        self.record_answer(from, reply.round);
        let last = self.log.last_index();
        let State::Leader(leading) = &mut self.state else { return };
        let Some(progress) = leading.progress.get_mut(&from) else { return };
        progress.in_flight = progress.in_flight.saturating_sub(1);
        if reply.matched {
            progress.record_match(reply.index.min(last));
            self.advance_commit(now);
            self.request_takeover_if_ready(from);
        } else if reply.index < progress.next {
            // Backs up to the last index at which the terms of the two logs can match.
            let at = self.log.last_at_most(reply.index, reply.conflict_term);
            progress.next = at.max(progress.matched) + 1;
            progress.probing = true;
            progress.in_flight = 0;
        }
        self.confirm_reads();
    }

    /// Records that a follower answered a round of heartbeats.
    fn record_answer(&mut self, from: u64, round: u64) {
        let State::Leader(leading) = &mut self.state else { return };
        let Some(progress) = leading.progress.get_mut(&from) else { return };
        if round <= progress.round {
            return;
        }
        progress.round = round;
        let sent = leading.rounds.iter().find(|(number, _)| *number == round);
        if let Some((_, sent)) = sent {
            progress.heard = progress.heard.max(*sent);
        }
    }

    pub(crate) fn advance_commit(&mut self, now: Millis) {
        let State::Leader(leading) = &self.state else { return };
        let members = self.lists.current();
        let matched = |id| match leading.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == self.id => self.persisted,
            None => 0,
        };
        let mut indexes: Vec<u64> = members.voters().map(matched).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(decisive) = indexes.get(members.majority() - 1).copied() else { return };
        // Only entries of the current term are committed by counting; older ones are committed with them.
        if decisive <= self.commit || self.log.term(decisive) != Some(self.hard.term) {
            return;
        }
        self.commit = decisive;
        self.step_down_if_removed(now);
    }

    fn step_down_if_removed(&mut self, now: Millis) {
        let removed = self.lists.current().get(self.id).is_none();
        if removed && self.lists.index() <= self.commit {
            self.become_follower(now, self.hard.term, None);
        }
    }

    fn send_chunk(&mut self, now: Millis, to: u64) {
        let Some(image) = self.snapshot.clone() else { return };
        let size = self.tuning.max_chunk_bytes;
        let State::Leader(leading) = &mut self.state else { return };
        let round = leading.round;
        let Some(progress) = leading.progress.get_mut(&to) else { return };
        let offset = match progress.snapshot {
            Some((index, have)) if index == image.head.index => have,
            _ => 0,
        };
        progress.snapshot = Some((image.head.index, offset));
        progress.sent = now;
        let start = (offset as usize).min(image.data.len());
        let end = (start + size).min(image.data.len());
        let chunk = SnapshotChunk {
            index: image.head.index,
            term: image.head.term,
            members: image.head.members.clone(),
            offset,
            total: image.data.len() as u64,
            crc: crc32c::crc32c(&image.data),
            data: image.data[start..end].to_vec(),
            round,
        };
        self.send(to, Body::SnapshotChunk(chunk));
    }

    pub(crate) fn handle_chunk_reply(&mut self, now: Millis, from: u64, reply: SnapshotChunkReply) {
        self.record_answer(from, reply.round);
        let total = self.snapshot.as_ref().map_or(0, |image| image.data.len() as u64);
        let State::Leader(leading) = &mut self.state else { return };
        let Some(progress) = leading.progress.get_mut(&from) else { return };
        let Some((index, _)) = progress.snapshot else { return };
        if index != reply.index {
            return;
        }
        if reply.received_bytes >= total {
            progress.snapshot = None;
            progress.in_flight = 0;
            progress.record_match(index);
            progress.next = progress.matched + 1;
            self.advance_commit(now);
        } else if progress.snapshot != Some((index, reply.received_bytes)) {
            progress.snapshot = Some((index, reply.received_bytes));
            self.send_chunk(now, from);
        }
        self.confirm_reads();
    }

    pub(crate) fn read(&mut self, ticket: Ticket) {
        if !self.ready() {
            let leads = matches!(self.state, State::Leader(_));
            let rejection = if leads { Rejection::NotReady } else { Rejection::NotLeader };
            self.outputs.push(Output::Rejected { ticket, rejection });
            return;
        }
        let index = self.commit;
        if let State::Leader(leading) = &mut self.state {
            // All reads of one step share the round that `flush` starts.
            let round = leading.round + 1;
            leading.reads.push_back(Read { ticket, index, round });
        }
        self.confirm_reads();
    }

    /// Completes the reads whose round a majority has answered.
    fn confirm_reads(&mut self) {
        let members = self.lists.current();
        let State::Leader(leading) = &mut self.state else { return };
        let own = members.is_voter(self.id);
        while let Some(read) = leading.reads.front() {
            let answered =
                |id: &u64| leading.progress.get(id).is_some_and(|p| p.round >= read.round);
            let count = members.voters().filter(answered).count() + usize::from(own);
            if count < members.majority() {
                return;
            }
            let Read { ticket, index, .. } = *read;
            leading.reads.pop_front();
            self.outputs.push(Output::ReadReady { ticket, index });
        }
    }

    pub(crate) fn fail_reads(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        for read in leading.reads.drain(..) {
            let rejection = Rejection::NotLeader;
            self.outputs.push(Output::Rejected { ticket: read.ticket, rejection });
        }
    }

    pub(crate) fn transfer_leadership(&mut self, now: Millis) {
        let election_ms = self.tuning.election_ms;
        let until = now + election_ms * 2;
        let State::Leader(leading) = &mut self.state else { return };
        let members = self.lists.current();
        let voters = leading.progress.iter().filter(|(id, _)| members.is_voter(**id));
        let best = voters.max_by_key(|(_, progress)| {
            (progress.answers(now, election_ms), progress.matched, progress.heard)
        });
        let Some(best) = best.map(|(id, _)| *id) else { return };
        leading.transfer = Some((best, until));
        self.request_takeover_if_ready(best);
    }

    fn request_takeover_if_ready(&mut self, id: u64) {
        let last = self.log.last_index();
        let State::Leader(leading) = &self.state else { return };
        let chosen = leading.transfer.is_some_and(|(chosen, _)| chosen == id);
        let caught_up = leading.progress.get(&id).is_some_and(|p| p.matched == last);
        if chosen && caught_up {
            self.send(id, Body::TakeOver(TakeOver {}));
        }
    }

    /// Whether a change of members may be proposed: the leader is ready, transfers leadership to no other
    /// replica, and the previous change is committed.
    pub fn may_change_members(&self) -> bool {
        let State::Leader(leading) = &self.state else { return false };
        self.ready() && !leading.is_transferring_leadership() && self.lists.index() <= self.commit
    }

    fn propose_members(&mut self, members: Members) {
        if self.propose(Kind::Members, members.encode_to_vec()).is_err() {
            return;
        }
        let last = self.log.last_index();
        let State::Leader(leading) = &mut self.state else { return };
        leading.progress.retain(|id, _| members.get(*id).is_some());
        for member in members.list.iter().filter(|member| member.id != self.id) {
            leading.progress.entry(member.id).or_insert_with(|| Progress::new(last));
        }
    }

    pub(crate) fn add(&mut self, member: Member) {
        if !self.may_change_members() || self.lists.current().get(member.id).is_some() {
            return;
        }
        let mut list = self.lists.current().list.clone();
        list.push(Member { voter: false, ..member });
        self.propose_members(Members::new(list));
    }

    pub(crate) fn remove(&mut self, id: u64) {
        if !self.may_change_members() || self.lists.current().get(id).is_none() {
            return;
        }
        let mut list = self.lists.current().list.clone();
        list.retain(|member| member.id != id);
        if list.iter().any(|member| member.voter) {
            self.propose_members(Members::new(list));
        }
    }

    /// Returns a learner that has caught up and answers, if there is one. A learner that may have been lost since
    /// must not become a voter: it would raise the majority without ever voting.
    fn caught_up_learner(&self, now: Millis) -> Option<u64> {
        let State::Leader(leading) = &self.state else { return None };
        let last = self.log.last_index();
        let Tuning { max_learner_lag, election_ms, .. } = self.tuning;
        let caught_up = |member: &&Member| {
            leading.progress.get(&member.id).is_some_and(|p| {
                p.matched > 0 && p.matched + max_learner_lag >= last && p.answers(now, election_ms)
            })
        };
        let mut learners = self.lists.current().list.iter().filter(|member| !member.voter);
        learners.find(caught_up).map(|member| member.id)
    }

    /// Makes one learner that has caught up a voter.
    fn promote(&mut self, now: Millis) {
        if !self.may_change_members() {
            return;
        }
        let Some(id) = self.caught_up_learner(now) else { return };
        let mut list = self.lists.current().list.clone();
        for member in &mut list {
            member.voter |= member.id == id;
        }
        self.propose_members(Members::new(list));
    }
}
