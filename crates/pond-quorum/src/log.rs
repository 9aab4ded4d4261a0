//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use pond_proto::quorum::{Entry, SnapshotHeader};

/// Entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log of the entries that follow a snapshot.
    pub fn new(head: Option<&SnapshotHeader>, entries: Vec<Entry>) -> Log {
        let (base_index, base_term) = head.map_or((0, 0), |head| (head.index, head.term));
        Log { base_index, base_term, entries: entries.into() }
    }

    /// Returns the index of the last entry that was dropped; 0 if none was.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index; `None` if it was dropped or does not exist yet.
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

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops all entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Returns the entries `from..=to`, cut off at `bytes` bytes of data, but at least one entry.
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

    /// Drops the entries up to `index`, which a snapshot covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let count = index.saturating_sub(self.base_index) as usize;
        self.entries.drain(..count.min(self.entries.len()));
        self.base_index = index;
        self.base_term = term;
    }

    /// Drops all entries; the log then follows a snapshot with this index and term.
    pub fn reset(&mut self, index: u64, term: u64) {
        *self = Log { base_index: index, base_term: term, entries: VecDeque::new() };
    }

    /// Returns the last index at or below `index` whose term is at most `term`.
    pub fn last_at_most(&self, index: u64, term: u64) -> u64 {
        let mut at = index.min(self.last_index());
        while at > self.base_index && self.term(at).is_some_and(|found| found > term) {
            at -= 1;
        }
        at
    }
}
