//! The lists of members in the log, including earlier ones that may become current again.

use pond_proto::quorum::{Entry, Kind, Members};
use prost::Message;

/// Lists of members, each with the index of its log entry.
///
/// A replica uses the newest list in its log, whether it is committed or not. When that entry is
/// dropped from the log, the previous list becomes current again.
#[derive(Clone, Debug)]
pub struct Lists {
    lists: Vec<(u64, Members)>,
}

impl Lists {
    /// Starts with the list of a snapshot or of the first start.
    pub fn new(index: u64, members: Members) -> Lists {
        Lists { lists: vec![(index, members)] }
    }

    /// Returns the current list.
    pub fn current(&self) -> &Members {
        &self.lists[self.lists.len() - 1].1
    }

    /// Returns the index of the entry that holds the current list.
    pub fn index(&self) -> u64 {
        self.lists[self.lists.len() - 1].0
    }

    /// Returns the list that is current at an index.
    pub fn at(&self, index: u64) -> &Members {
        let found = self.lists.iter().rev().find(|(made_at, _)| *made_at <= index);
        &found.unwrap_or(&self.lists[0]).1
    }

    /// Processes a log entry. Returns `true` if it holds a new list.
    pub fn append(&mut self, entry: &Entry) -> bool {
        if entry.kind() != Kind::Members {
            return false;
        }
        let Ok(members) = Members::decode(entry.data.as_slice()) else { return false };
        self.lists.push((entry.index, members));
        true
    }

    /// Drops the lists of entries from `index` on. Returns `true` if the current list changed.
    pub fn truncate(&mut self, index: u64) -> bool {
        let before = self.lists.len();
        let first = self.lists[0].clone();
        self.lists.retain(|(made_at, _)| *made_at < index);
        if self.lists.is_empty() {
            self.lists.push(first);
        }
        self.lists.len() != before
    }

    /// Drops the lists that were replaced at or before `index`.
    pub fn compact(&mut self, index: u64) {
        while self.lists.len() > 1 && self.lists[1].0 <= index {
            self.lists.remove(0);
        }
    }
}
