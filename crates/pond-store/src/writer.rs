//! Ordered writes, and items that are released once those writes are durable. Tolerates a full disk.

use std::collections::VecDeque;

use pond_proto::quorum::{Entry, HardState};

use crate::{Error, Snapshot, Store};

/// A write that must become durable.
#[derive(Clone, Debug)]
pub enum Write {
    /// A group of entries and the hard state.
    Batch {
        /// Term, vote and commit index, if they changed.
        hard: Option<HardState>,
        /// Entries. The first one replaces any stored entry with its index and all later ones.
        entries: Vec<Entry>,
    },
    /// A snapshot from the leader, which replaces the log.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the log's files keep the entries after the snapshot's index.
        keeps_log: bool,
    },
}

#[derive(Debug)]
enum Item<T> {
    Write(Write),
    After(T),
}

/// The result of a flush.
#[derive(Debug, PartialEq, Eq)]
pub struct Flushed<T> {
    /// The items whose preceding writes are now durable, in order.
    pub released: Vec<T>,
    /// Whether all enqueued batches are durable now, and some were not before.
    pub all_durable: bool,
}

/// Writes to a [`Store`] in order. While the disk is full, pending writes and the items that follow them
/// wait; nothing is lost or reordered.
#[derive(Debug)]
pub struct Writer<T> {
    store: Store,
    queue: VecDeque<Item<T>>,
    /// Number of items at the front that are written but may not be synced yet.
    written: usize,
    /// Whether batches were enqueued since all were last durable.
    has_unsynced: bool,
    full: bool,
}

impl<T> Writer<T> {
    /// Creates a writer to a store.
    pub fn new(store: Store) -> Writer<T> {
        Writer { store, queue: VecDeque::new(), written: 0, has_unsynced: false, full: false }
    }

    /// Returns the store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Enqueues a write.
    pub fn enqueue(&mut self, write: Write) {
        self.has_unsynced |= matches!(write, Write::Batch { .. });
        self.queue.push_back(Item::Write(write));
    }

    /// Enqueues an item that is released once all previously enqueued writes are durable.
    pub fn enqueue_after(&mut self, item: T) {
        self.queue.push_back(Item::After(item));
    }

    /// Whether the disk was full at the last attempt, so that writes wait for space.
    pub fn full(&self) -> bool {
        self.full
    }

    /// Returns the number of waiting writes and items.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no writes or items wait.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Writes and syncs what waits, as far as the disk has space.
    ///
    /// # Errors
    /// See [`Error`]; a full disk is not an error here.
    pub fn flush(&mut self) -> Result<Flushed<T>, Error> {
        self.full = !self.write()?;
        match self.store.sync() {
            Ok(()) => {}
            Err(Error::Full { .. }) => {
                self.full = true;
                return Ok(Flushed { released: Vec::new(), all_durable: false });
            }
            Err(error) => return Err(error),
        }
        let done = self.queue.drain(..std::mem::take(&mut self.written));
        let released = done.filter_map(|item| match item {
            Item::After(released) => Some(released),
            Item::Write(_) => None,
        });
        let released = released.collect();
        let all_durable = self.queue.is_empty() && std::mem::take(&mut self.has_unsynced);
        Ok(Flushed { released, all_durable })
    }

    /// Writes what waits, without a final sync. Returns `false` if the disk is full.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn write(&mut self) -> Result<bool, Error> {
        while let Some(item) = self.queue.get(self.written) {
            let written = match item {
                Item::Write(Write::Batch { hard, entries }) => self.store.append(*hard, entries),
                Item::Write(Write::Snapshot { snapshot, keeps_log: true }) => {
                    self.store.save(snapshot)
                }
                Item::Write(Write::Snapshot { snapshot, .. }) => self.store.replace(snapshot),
                Item::After(_) => Ok(()),
            };
            match written {
                Ok(()) => self.written += 1,
                Err(Error::Full { .. }) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Saves a snapshot of this replica's state. Returns `false` if the disk is full; the previous data then
    /// stays usable.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<bool, Error> {
        match self.store.save(snapshot) {
            Ok(()) => Ok(true),
            Err(Error::Full { .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }
}
