//! A simulated disk in memory that can lose unsynced data.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Disk;

/// A file: its bytes, and how many of them are durable.
#[derive(Clone, Debug, Default)]
struct StoredFile {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: BTreeMap<String, StoredFile>,
    /// The files as they would be after a crash: names as of the last sync of the folder, with synced
    /// contents.
    durable: BTreeMap<String, StoredFile>,
    capacity: Option<usize>,
    ignores_syncs: bool,
    /// Modifying calls since failures were last set.
    changes: u64,
    /// Which of these calls fail as on a full disk.
    failing: Range<u64>,
}

impl Inner {
    /// Counts a modifying call. Returns an error if it is to fail.
    fn count_change(&mut self) -> io::Result<()> {
        self.changes += 1;
        match self.failing.contains(&(self.changes - 1)) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    /// Keeps or reverts each unsynced change of a name, at random.
    fn keep_random_names(&mut self, rng: &mut StdRng) {
        let Inner { files, durable, .. } = self;
        files.retain(|name, _| durable.contains_key(name) || rng.random());
        for (name, stored) in durable.iter() {
            if !files.contains_key(name) && rng.random() {
                files.insert(name.clone(), stored.clone());
            }
        }
    }
}

/// A simulated disk in memory for tests and fault models.
///
/// Clones share the files, so that a test can crash the disk under a store and reopen it.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
}

/// Which unsynced bytes a crash keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// None.
    DropUnsynced,
    /// All, as when only the process was killed.
    KeepAll,
    /// This many unsynced bytes of each file.
    KeepBytes(usize),
    /// A random number of unsynced bytes of each file, drawn with this seed. Each file creation, renaming
    /// and removal since the last sync of the folder is kept or reverted independently.
    KeepRandom(u64),
}

impl Memory {
    /// Creates an empty disk.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Creates a disk that is full when its files hold `bytes` in total.
    pub fn with_capacity(bytes: usize) -> Memory {
        let memory = Memory::new();
        memory.inner().capacity = Some(bytes);
        memory
    }

    /// Makes syncs succeed without effect, to show that checks detect the loss.
    pub fn ignore_syncs(&self) {
        self.inner().ignores_syncs = true;
    }

    /// Changes the capacity, in bytes.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.inner().capacity = bytes;
    }

    /// Makes modifying calls fail as on a full disk, by their numbers counted from now on. A failed append
    /// leaves half of its bytes; a failed sync loses half of the unsynced bytes.
    pub fn fail_as_full(&self, calls: Range<u64>) {
        let mut inner = self.inner();
        inner.changes = 0;
        inner.failing = calls;
    }

    /// Returns the number of modifying calls, including failed ones, since failures were last set.
    pub fn changes(&self) -> u64 {
        self.inner().changes
    }

    /// Crashes the disk: unsynced bytes and names are kept or lost as `crash` says.
    pub fn crash(&self, crash: Crash) {
        let mut inner = self.inner();
        if crash == Crash::KeepAll {
            return;
        }
        let mut rng = StdRng::seed_from_u64(match crash {
            Crash::KeepRandom(seed) => seed,
            _ => 0,
        });
        match crash {
            Crash::DropUnsynced => inner.files = inner.durable.clone(),
            Crash::KeepRandom(_) => inner.keep_random_names(&mut rng),
            _ => {}
        }
        for file in inner.files.values_mut() {
            let keep = match crash {
                Crash::KeepBytes(more) => file.synced + more,
                Crash::KeepRandom(_) => rng.random_range(file.synced..=file.bytes.len()),
                _ => file.synced,
            };
            file.bytes.truncate(keep);
            file.synced = file.bytes.len();
        }
        inner.durable = inner.files.clone();
    }

    /// Corrupts one byte of a file.
    pub fn damage(&self, name: &str, offset: usize) {
        if let Some(byte) =
            self.inner().files.get_mut(name).and_then(|file| file.bytes.get_mut(offset))
        {
            *byte ^= 0x5a;
        }
    }

    /// Returns a separate disk with the same content.
    pub fn copy(&self) -> Memory {
        let inner = self.inner().clone();
        Memory { inner: Arc::new(Mutex::new(inner)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn missing(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_owned())
}

impl Disk for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.inner();
        inner.files.get(name).map(|file| file.bytes.clone()).ok_or_else(|| missing(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        if let Err(full) = inner.count_change() {
            let file = inner.files.entry(name.to_owned()).or_default();
            file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(full);
        }
        let used: usize = inner.files.values().map(|file| file.bytes.len()).sum();
        let room = inner.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
        let taken = bytes.len().min(room);
        let file = inner.files.entry(name.to_owned()).or_default();
        file.bytes.extend_from_slice(&bytes[..taken]);
        if taken < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let file = inner.files.get_mut(name).ok_or_else(|| missing(name))?;
        file.bytes.truncate(length as usize);
        file.synced = file.synced.min(file.bytes.len());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.ignores_syncs {
            return Ok(());
        }
        let outcome = inner.count_change();
        let file = inner.files.get_mut(name).ok_or_else(|| missing(name))?;
        if outcome.is_err() {
            file.bytes.truncate(file.synced + (file.bytes.len() - file.synced) / 2);
            return outcome;
        }
        file.synced = file.bytes.len();
        let copy = file.clone();
        if let Some(durable) = inner.durable.get_mut(name) {
            *durable = copy;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let file = inner.files.remove(from).ok_or_else(|| missing(from))?;
        inner.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let removed = inner.files.remove(name);
        removed.map(|_| ()).ok_or_else(|| missing(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.ignores_syncs {
            return Ok(());
        }
        inner.count_change()?;
        let mut durable = inner.files.clone();
        for file in durable.values_mut() {
            file.bytes.truncate(file.synced);
        }
        inner.durable = durable;
        Ok(())
    }
}
