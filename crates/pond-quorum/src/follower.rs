//! The follower's part: appends and snapshots from the leader.

use std::sync::Arc;

use pond_proto::Millis;
use pond_proto::quorum::{
    Append, AppendReply, Body, SnapshotChunk, SnapshotChunkReply, SnapshotHeader,
};

use crate::core::{Core, State};
use crate::io::{Output, SnapshotImage};
use crate::members::Lists;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: u64,
    crc: u32,
    data: Vec<u8>,
}

impl Core {
    /// Records a message from a leader. Returns `false` if that leader's term is outdated.
    fn heard_leader(&mut self, now: Millis, from: u64, term: u64) -> bool {
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

    pub(crate) fn handle_append(&mut self, now: Millis, from: u64, term: u64, append: Append) {
        if !self.heard_leader(now, from, term) {
            // Informs an outdated leader of the new term.
            let reply =
                AppendReply { matched: false, index: 0, conflict_term: 0, round: append.round };
            self.send(from, Body::AppendReply(reply));
            return;
        }
        let round = append.round;
        let reply = match self.merge(append) {
            Ok(index) => AppendReply { matched: true, index, conflict_term: 0, round },
            Err((index, conflict_term)) => {
                AppendReply { matched: false, index, conflict_term, round }
            }
        };
        self.send_durable(from, Body::AppendReply(reply));
    }

    /// Merges entries into the log. Returns the last index up to which the log matches the leader's, or,
    /// as an error, the index and the term at which the logs may match.
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
        // A legitimate leader never replaces a committed entry.
        assert!(index > self.commit, "a committed entry would be replaced");
        self.log.truncate(index);
        self.persisted = self.persisted.min(index - 1);
        self.emitted = self.emitted.min(index - 1);
        self.unwritten.retain(|entry| entry.index < index);
        if self.lists.truncate(index) {
            self.outputs.push(Output::MembersChanged(self.lists.current().clone()));
        }
    }

    pub(crate) fn handle_chunk(&mut self, now: Millis, from: u64, term: u64, chunk: SnapshotChunk) {
        if !self.heard_leader(now, from, term) {
            return;
        }
        let (index, round) = (chunk.index, chunk.round);
        let have = self.add_chunk(chunk);
        self.send_durable(
            from,
            Body::SnapshotChunkReply(SnapshotChunkReply { index, received_bytes: have, round }),
        );
    }

    /// Adds a chunk to the incoming snapshot. Returns how many bytes of it have been received.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        if chunk.index <= self.commit {
            return chunk.total;
        }
        let same = |incoming: &IncomingSnapshot| {
            incoming.index == chunk.index && incoming.crc == chunk.crc
        };
        if !self.incoming.as_ref().is_some_and(same) {
            let (index, crc) = (chunk.index, chunk.crc);
            self.incoming = Some(IncomingSnapshot { index, crc, data: Vec::new() });
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
        let head = SnapshotHeader { index: chunk.index, term: chunk.term, members: chunk.members };
        self.install(SnapshotImage { head, data: Arc::new(data) });
        have
    }

    /// Installs a complete snapshot in place of the log up to its index. Later entries are kept if the
    /// snapshot matches the log, because this replica may have acknowledged them and the leader may
    /// have counted them as stored.
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
            self.emitted = head.index;
            self.unwritten.clear();
            self.outputs.push(Output::MembersChanged(head.members.clone()));
        }
        self.commit = head.index;
        self.applied = head.index;
        self.outputs.push(Output::Install { image: image.clone(), keeps_log });
        self.snapshot = Some(image);
    }
}
