//! Following a leader: appends and snapshots.

use std::sync::Arc;

use pond_proto::Millis;
use pond_proto::quorum::{Append, AppendTell, Body, Chunk, ChunkTell, SnapshotHead};

use crate::core::{Core, State};
use crate::io::{Output, SnapshotImage};
use crate::members::Lists;

/// A snapshot that is coming in.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: u64,
    crc: u32,
    data: Vec<u8>,
}

impl Core {
    /// Takes note of a message from a leader; false if that leader is out of date.
    fn hear(&mut self, now: Millis, from: u64, term: u64) -> bool {
        if term < self.hard.term {
            return false;
        }
        if !matches!(self.state, State::Follower) || self.leader != Some(from) {
            self.become_follower(now, term, Some(from));
        }
        self.heard = Some(now);
        self.reset_deadline(now);
        true
    }

    pub(crate) fn append(&mut self, now: Millis, from: u64, term: u64, append: Append) {
        if !self.hear(now, from, term) {
            // Tells an old leader the new term.
            let tell = AppendTell { fitted: false, index: 0, hint_term: 0, round: append.round };
            self.send(from, Body::AppendTell(tell));
            return;
        }
        let round = append.round;
        let tell = match self.merge(append) {
            Ok(index) => AppendTell { fitted: true, index, hint_term: 0, round },
            Err((index, hint_term)) => AppendTell { fitted: false, index, hint_term, round },
        };
        self.send_durable(from, Body::AppendTell(tell));
    }

    /// Merges entries into the log; the last equal index, or where it may be equal and its term.
    fn merge(&mut self, append: Append) -> Result<u64, (u64, u64)> {
        let previous = append.previous_index;
        if previous >= self.log.base_index()
            && self.log.term(previous) != Some(append.previous_term)
        {
            let at = self
                .log
                .last_at_most(previous, append.previous_term)
                .min(previous.saturating_sub(1));
            return Err((at, self.log.term(at).unwrap_or(0)));
        }
        let last = previous + append.entries.len() as u64;
        for entry in append.entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
        let last = last.max(self.log.base_index());
        self.commit = self.commit.max(append.commit.min(last));
        Ok(last)
    }

    fn truncate(&mut self, index: u64) {
        // What is committed is never replaced; a leader that asks for it is not one.
        assert!(index > self.commit, "a committed entry would be replaced");
        self.log.truncate(index);
        self.persisted = self.persisted.min(index - 1);
        self.handed_out = self.handed_out.min(index - 1);
        self.unwritten.retain(|entry| entry.index < index);
        if self.lists.truncate(index) {
            self.outputs.push(Output::MembersChanged(self.lists.current().clone()));
        }
    }

    pub(crate) fn chunk(&mut self, now: Millis, from: u64, term: u64, chunk: Chunk) {
        if !self.hear(now, from, term) {
            return;
        }
        let (index, round) = (chunk.index, chunk.round);
        let have = self.take_chunk(chunk);
        self.send_durable(from, Body::ChunkTell(ChunkTell { index, have, round }));
    }

    /// Takes in a piece; how many bytes of the snapshot are there now.
    fn take_chunk(&mut self, chunk: Chunk) -> u64 {
        if chunk.index <= self.commit {
            return chunk.total;
        }
        let same = |incoming: &Incoming| incoming.index == chunk.index && incoming.crc == chunk.crc;
        if !self.incoming.as_ref().is_some_and(same) {
            let (index, crc) = (chunk.index, chunk.crc);
            self.incoming = Some(Incoming { index, crc, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let have = incoming.data.len() as u64;
        if have < chunk.total {
            return have;
        }
        let data = self.incoming.take().map(|incoming| incoming.data).unwrap_or_default();
        if crc32c::crc32c(&data) != chunk.crc {
            return 0;
        }
        let head = SnapshotHead { index: chunk.index, term: chunk.term, members: chunk.members };
        self.install(SnapshotImage { head, data: Arc::new(data) });
        have
    }

    /// Takes a whole snapshot in place of the log before it. What the log holds behind it stays if
    /// it fits, since the leader may have counted on it.
    fn install(&mut self, image: SnapshotImage) {
        let head = &image.head;
        let keeps_log = self.log.term(head.index) == Some(head.term);
        if keeps_log {
            self.log.compact(head.index);
            self.lists.compact(head.index);
            self.unwritten.retain(|entry| entry.index > head.index);
        } else {
            self.log.reset(head.index, head.term);
            self.lists = Lists::new(head.index, head.members.clone());
            self.persisted = head.index;
            self.handed_out = head.index;
            self.unwritten.clear();
            self.outputs.push(Output::MembersChanged(head.members.clone()));
        }
        self.commit = head.index;
        self.applied = head.index;
        self.outputs.push(Output::Install { image: image.clone(), keeps_log });
        self.snapshot = Some(image);
    }
}
