//! What must last, in order, and what may happen only then, across times when the disk is full.

use std::collections::VecDeque;

use pond_proto::quorum::{Entry, Hard};

use crate::{Error, Snapshot, Store};

/// Something that must last.
#[derive(Clone, Debug)]
pub enum Write {
    /// A group of entries and the hard state.
    Batch {
        /// Term, vote and commit index, if they changed.
        hard: Option<Hard>,
        /// Entries; the first one replaces what has its index and all after it.
        entries: Vec<Entry>,
    },
    /// A snapshot of a leader in place of the own log.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the log's files keep what they hold behind it.
        keeps_log: bool,
    },
}

#[derive(Debug)]
enum Item<T> {
    Write(Write),
    After(T),
}

/// What came of writing.
#[derive(Debug, PartialEq, Eq)]
pub struct Flushed<T> {
    /// What may happen now, in order.
    pub released: Vec<T>,
    /// All batches that were handed in last now, and some did not before.
    pub all_durable: bool,
}

/// Writes to a [`Store`] in order. While the disk is full, what could not be written waits, and what
/// should happen after it waits with it; nothing is lost and nothing overtakes.
#[derive(Debug)]
pub struct Writer<T> {
    store: Store,
    queue: VecDeque<Item<T>>,
    /// Items at the front that are in the files and may not be synced yet.
    written: usize,
    /// Batches were handed in since all lasted.
    has_unsynced: bool,
    full: bool,
}

impl<T> Writer<T> {
    /// Writes to a store.
    pub fn new(store: Store) -> Writer<T> {
        Writer { store, queue: VecDeque::new(), written: 0, has_unsynced: false, full: false }
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// This must last.
    pub fn enqueue(&mut self, write: Write) {
        self.has_unsynced |= matches!(write, Write::Batch { .. });
        self.queue.push_back(Item::Write(write));
    }

    /// This may happen once all that was put before lasts.
    pub fn enqueue_after(&mut self, next: T) {
        self.queue.push_back(Item::After(next));
    }

    /// Whether the disk was full at the last try, and something waits for room.
    pub fn full(&self) -> bool {
        self.full
    }

    /// How many things wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Writes and syncs what waits, as far as the disk has room.
    ///
    /// # Errors
    /// See [`Error`]; a full disk is none here.
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
            Item::After(next) => Some(next),
            Item::Write(_) => None,
        });
        let released = released.collect();
        let all_durable = self.queue.is_empty() && std::mem::take(&mut self.has_unsynced);
        Ok(Flushed { released, all_durable })
    }

    /// Writes what waits and syncs nothing that need not be; false if the disk is full.
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

    /// Saves a snapshot of the own state; false if the disk is full, and then all is as before.
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
