//! The members as the log gives them, with those that may come back.

use pond_proto::quorum::{Entry, Kind, Members};
use prost::Message;

/// Lists of members with the index of the entry that made each.
///
/// A replica uses the newest list in its log, accepted or not; when the entry is dropped from the
/// log, the list before it is in force again.
#[derive(Clone, Debug)]
pub struct Lists {
    lists: Vec<(u64, Members)>,
}

impl Lists {
    /// The list of a snapshot or of the first start.
    pub fn new(index: u64, members: Members) -> Lists {
        Lists { lists: vec![(index, members)] }
    }

    /// The list in force.
    pub fn current(&self) -> &Members {
        &self.lists[self.lists.len() - 1].1
    }

    /// Index of the entry that made it.
    pub fn index(&self) -> u64 {
        self.lists[self.lists.len() - 1].0
    }

    /// The list in force at an index.
    pub fn at(&self, index: u64) -> &Members {
        let found = self.lists.iter().rev().find(|(made, _)| *made <= index);
        &found.unwrap_or(&self.lists[0]).1
    }

    /// Takes in an entry; true if it made a new list.
    pub fn take(&mut self, entry: &Entry) -> bool {
        if entry.kind() != Kind::Members {
            return false;
        }
        let Ok(members) = Members::decode(entry.data.as_slice()) else { return false };
        self.lists.push((entry.index, members));
        true
    }

    /// Forgets lists made by entries from `index` on; true if the list in force changed.
    pub fn truncate(&mut self, index: u64) -> bool {
        let before = self.lists.len();
        let first = self.lists[0].clone();
        self.lists.retain(|(made, _)| *made < index);
        if self.lists.is_empty() {
            self.lists.push(first);
        }
        self.lists.len() != before
    }

    /// Forgets lists that were replaced at or before `index`.
    pub fn compact(&mut self, index: u64) {
        while self.lists.len() > 1 && self.lists[1].0 <= index {
            self.lists.remove(0);
        }
    }
}
