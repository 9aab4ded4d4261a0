//! The part of the log that is in memory.

use std::collections::VecDeque;

use pond_proto::quorum::{Entry, SnapshotHead};

/// Entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// The entries that follow a snapshot.
    pub fn new(head: Option<&SnapshotHead>, entries: Vec<Entry>) -> Log {
        let (base_index, base_term) = head.map_or((0, 0), |head| (head.index, head.term));
        Log { base_index, base_term, entries: entries.into() }
    }

    /// Index of the last entry that was dropped.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The term at an index; none if it was dropped or is not there yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops all entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Entries `from..=to`, at most about `bytes` bytes of them but at least one.
    pub fn range(&self, from: u64, to: u64, bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        for index in from..=to {
            let Some(entry) = self.get(index) else { break };
            size += entry.data.len();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Drops entries up to `index`, which a snapshot holds.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let count = index.saturating_sub(self.base_index) as usize;
        self.entries.drain(..count.min(self.entries.len()));
        self.base_index = index;
        self.base_term = term;
    }

    /// Replaces everything by a snapshot.
    pub fn reset(&mut self, index: u64, term: u64) {
        *self = Log { base_index: index, base_term: term, entries: VecDeque::new() };
    }

    /// The last index at or below `index` whose term is at most `term`.
    pub fn last_at_most(&self, index: u64, term: u64) -> u64 {
        let mut at = index.min(self.last_index());
        while at > self.base_index && self.term(at).is_some_and(|found| found > term) {
            at -= 1;
        }
        at
    }
}
