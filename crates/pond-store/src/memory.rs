//! A disk in memory that can lose what was not synced.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Disk;

/// One file: its bytes, and how many of them last.
#[derive(Clone, Debug, Default)]
struct Stored {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: BTreeMap<String, Stored>,
    /// Names that last; `None` is a removal that was not synced.
    lasting: BTreeMap<String, Stored>,
    capacity: Option<usize>,
    sync_lies: bool,
    /// Calls that change something, since refusals were last set.
    changes: u64,
    /// Which of them are refused as on a full disk.
    refused: Range<u64>,
}

impl Inner {
    /// Counts a call that changes something; an error if it is refused.
    fn change(&mut self) -> io::Result<()> {
        self.changes += 1;
        match self.refused.contains(&(self.changes - 1)) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    /// Keeps or loses each change of a name that was not synced.
    fn scatter_names(&mut self, rng: &mut StdRng) {
        let Inner { files, lasting, .. } = self;
        files.retain(|name, _| lasting.contains_key(name) || rng.random());
        for (name, stored) in lasting.iter() {
            if !files.contains_key(name) && rng.random() {
                files.insert(name.clone(), stored.clone());
            }
        }
    }
}

/// A disk in memory for tests and models of failure.
///
/// Clones share the files, so that a test can crash the disk under a store and open it again.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
}

/// What a crash leaves of bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Nothing of them.
    DropUnsynced,
    /// All of them, as when only the process died.
    KeepAll,
    /// This many bytes of each file's part that was not synced.
    KeepBytes(usize),
    /// Of each file's part some bytes, and each name that was made, renamed or removed since names
    /// were synced is there or not, independently of the rest: drawn by this seed.
    KeepRandom(u64),
}

impl Memory {
    /// An empty disk.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// A disk that is full when its files hold `bytes` together.
    pub fn with_capacity(bytes: usize) -> Memory {
        let memory = Memory::new();
        memory.inner().capacity = Some(bytes);
        memory
    }

    /// Makes `sync` answer without doing anything, to show that checks notice.
    pub fn ignore_syncs(&self) {
        self.inner().sync_lies = true;
    }

    /// Changes the capacity, in bytes.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.inner().capacity = bytes;
    }

    /// Refuses calls that change something as a full disk does, by their numbers from now on. A
    /// refused append leaves half of its bytes, a refused sync loses half of what was not synced.
    pub fn fail_as_full(&self, calls: Range<u64>) {
        let mut inner = self.inner();
        inner.changes = 0;
        inner.refused = calls;
    }

    /// Calls that changed something, refused ones included, since refusals were last set.
    pub fn changes(&self) -> u64 {
        self.inner().changes
    }

    /// Crashes: unsynced bytes and names are treated as `crash` says.
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
            Crash::DropUnsynced => inner.files = inner.lasting.clone(),
            Crash::KeepRandom(_) => inner.scatter_names(&mut rng),
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
        inner.lasting = inner.files.clone();
    }

    /// Changes one byte of a file.
    pub fn damage(&self, name: &str, offset: usize) {
        if let Some(byte) =
            self.inner().files.get_mut(name).and_then(|file| file.bytes.get_mut(offset))
        {
            *byte ^= 0x5a;
        }
    }

    /// A second disk with the same content.
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
        if let Err(refused) = inner.change() {
            let file = inner.files.entry(name.to_owned()).or_default();
            file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(refused);
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
        inner.change()?;
        let file = inner.files.get_mut(name).ok_or_else(|| missing(name))?;
        file.bytes.truncate(length as usize);
        file.synced = file.synced.min(file.bytes.len());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.sync_lies {
            return Ok(());
        }
        let refused = inner.change();
        let file = inner.files.get_mut(name).ok_or_else(|| missing(name))?;
        if refused.is_err() {
            file.bytes.truncate(file.synced + (file.bytes.len() - file.synced) / 2);
            return refused;
        }
        file.synced = file.bytes.len();
        let copy = file.clone();
        if let Some(lasting) = inner.lasting.get_mut(name) {
            *lasting = copy;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.change()?;
        let file = inner.files.remove(from).ok_or_else(|| missing(from))?;
        inner.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.change()?;
        let removed = inner.files.remove(name);
        removed.map(|_| ()).ok_or_else(|| missing(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.sync_lies {
            return Ok(());
        }
        inner.change()?;
        let mut lasting = inner.files.clone();
        for file in lasting.values_mut() {
            file.bytes.truncate(file.synced);
        }
        inner.lasting = lasting;
        Ok(())
    }
}
