//! Memory for requests in progress, and the order in which connections are closed to make room.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::Stop;

/// Memory that a connection takes without a request, in bytes: a read buffer of 8 KiB, what the kernel buffers, and
/// the state of the connection.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// Size of a read buffer that is included in [`CONNECTION_BYTES`], in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Memory in bytes for the connections of a process and their requests, shared by its servers.
///
/// A connection or request that does not fit closes others to make room: those first that have been idle, have had an
/// incomplete request, or have not read their answer for longest. So a crowd that stands still does not keep out
/// callers that make progress, whatever it waits with. Requests that are being handled are never closed.
#[derive(Clone, Debug)]
pub struct Budget {
    ledger: Arc<Mutex<Ledger>>,
}

/// Use of a [`Budget`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of open connections.
    pub connections: usize,
    /// Reserved memory, in bytes.
    pub bytes: usize,
    /// Number of connections that were closed to make room.
    pub reclaimed: u64,
    /// Number of requests that found no room.
    pub refusals: u64,
}

/// There is no room, and nothing can be closed to make some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Part of a request has arrived.
    Receiving,
    /// No request has begun.
    Idle,
    /// The answer is ready and not completely written.
    Answering,
    /// The request is complete and has no answer.
    Handling,
}

#[derive(Debug)]
struct Entry {
    server: u64,
    phase: Phase,
    /// Number of the event that began the phase.
    since: u64,
    bytes: usize,
    /// Bytes of the current request that were read from the connection.
    received: usize,
    reclaimed: Stop,
}

#[derive(Debug)]
struct Ledger {
    max_bytes: usize,
    usage: Usage,
    next_number: u64,
    entries: BTreeMap<u64, Entry>,
    /// Start of the phase and key of each entry that may be closed.
    closable: BTreeSet<(u64, u64)>,
}

impl Budget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Budget {
        let ledger = Ledger {
            max_bytes,
            usage: Usage::default(),
            next_number: 0,
            entries: BTreeMap::new(),
            closable: BTreeSet::new(),
        };
        Budget { ledger: Arc::new(Mutex::new(ledger)) }
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Budget {
        Budget::new(usize::MAX)
    }

    /// Returns the current use.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the key of a new server.
    pub(crate) fn register(&self) -> u64 {
        self.lock().next_number()
    }

    /// Opens the account of a new connection to a server.
    pub(crate) fn open(&self, server: u64) -> Result<Account, Full> {
        let reclaimed = Stop::new();
        let key = self.lock().open(server, reclaimed.clone())?;
        Ok(Account { key, budget: self.clone(), reclaimed, overflowed: AtomicBool::new(false) })
    }

    /// Closes a connection to a server. Returns false if none can be closed.
    pub(crate) fn reclaim(&self, server: u64) -> bool {
        self.lock().reclaim(|_, entry| entry.server == server)
    }
}

impl Ledger {
    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn open(&mut self, server: u64, reclaimed: Stop) -> Result<u64, Full> {
        let key = self.next_number();
        self.require_room(key, CONNECTION_BYTES)?;
        let (phase, bytes) = (Phase::Idle, CONNECTION_BYTES);
        self.entries
            .insert(key, Entry { server, phase, since: key, bytes, received: 0, reclaimed });
        self.closable.insert((key, key));
        self.usage.connections += 1;
        self.usage.bytes += bytes;
        Ok(key)
    }

    /// Closes other connections until `extra` more bytes fit. Returns false if they do not.
    fn make_room(&mut self, key: u64, extra: usize) -> bool {
        while self.usage.bytes.saturating_add(extra) > self.max_bytes {
            if !self.reclaim(|other, _| other != key) {
                return false;
            }
        }
        true
    }

    fn require_room(&mut self, key: u64, extra: usize) -> Result<(), Full> {
        if self.make_room(key, extra) {
            return Ok(());
        }
        self.usage.refusals += 1;
        Err(Full)
    }

    /// Closes the connection that has stood still for longest among those that `may_close` selects.
    fn reclaim(&mut self, may_close: impl Fn(u64, &Entry) -> bool) -> bool {
        let selects = |key: &u64| self.entries.get(key).is_some_and(|entry| may_close(*key, entry));
        let Some(key) = self.closable.iter().map(|(_, key)| *key).find(selects) else {
            return false;
        };
        if let Some(entry) = self.remove(key) {
            entry.reclaimed.stop();
            self.usage.reclaimed += 1;
        }
        true
    }

    fn remove(&mut self, key: u64) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.closable.remove(&(entry.since, key));
        self.usage.connections -= 1;
        self.usage.bytes -= entry.bytes;
        Some(entry)
    }

    fn set_phase(&mut self, key: u64, phase: Phase) {
        let now = self.next_number();
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.closable.remove(&(entry.since, key));
        (entry.phase, entry.since) = (phase, now);
        if phase != Phase::Handling {
            self.closable.insert((now, key));
        }
    }

    fn set_bytes(&mut self, key: u64, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.usage.bytes = self.usage.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
    }

    fn reserve(&mut self, key: u64, extra: usize) -> Result<(), Full> {
        let bytes = self.entries.get(&key).ok_or(Full)?.bytes;
        self.require_room(key, extra)?;
        self.set_bytes(key, bytes + extra);
        Ok(())
    }

    fn received(&mut self, key: u64, bytes: usize, max_head_bytes: usize) -> Result<(), Full> {
        let entry = self.entries.get_mut(&key).ok_or(Full)?;
        if !matches!(entry.phase, Phase::Idle | Phase::Receiving) {
            return Ok(());
        }
        let before = entry.received;
        entry.received += bytes;
        let grows = before <= READ_BUFFER_BYTES && entry.received > READ_BUFFER_BYTES;
        if entry.phase == Phase::Idle {
            self.set_phase(key, Phase::Receiving);
        }
        // The read buffer grows with the request.
        if grows { self.reserve(key, max_head_bytes) } else { Ok(()) }
    }
}

/// The account of a connection. It is closed on drop.
#[derive(Debug)]
pub(crate) struct Account {
    key: u64,
    budget: Budget,
    reclaimed: Stop,
    /// Whether there was no room for bytes that were read.
    overflowed: AtomicBool,
}

impl Account {
    /// Records that bytes were read from the connection.
    pub fn received(&self, bytes: usize, max_head_bytes: usize) -> Result<(), Full> {
        let recorded = self.budget.lock().received(self.key, bytes, max_head_bytes);
        self.overflowed.fetch_or(recorded.is_err(), Ordering::Relaxed);
        recorded
    }

    /// Returns whether there was no room for bytes that were read.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed.load(Ordering::Relaxed)
    }

    /// Reserves memory for the current request.
    pub fn reserve(&self, bytes: usize) -> Result<(), Full> {
        self.budget.lock().reserve(self.key, bytes)
    }

    /// Records that the request is complete.
    pub fn handling(&self) {
        self.budget.lock().set_phase(self.key, Phase::Handling);
    }

    /// Records that the request has an answer with a body of `bytes` bytes, which has a place even if nothing can be
    /// closed.
    pub fn answering(&self, bytes: usize) {
        let mut ledger = self.budget.lock();
        ledger.set_phase(self.key, Phase::Answering);
        ledger.set_bytes(self.key, CONNECTION_BYTES);
        ledger.make_room(self.key, bytes);
        ledger.set_bytes(self.key, CONNECTION_BYTES + bytes);
    }

    /// Records that everything is written.
    pub fn flushed(&self) {
        let mut ledger = self.budget.lock();
        let Some(entry) = ledger.entries.get_mut(&self.key) else { return };
        if entry.phase == Phase::Answering {
            entry.received = 0;
            ledger.set_phase(self.key, Phase::Idle);
            ledger.set_bytes(self.key, CONNECTION_BYTES);
        }
    }

    /// Records that the rest of a refused request is read and discarded.
    pub fn discarding(&self) {
        let mut ledger = self.budget.lock();
        ledger.set_phase(self.key, Phase::Receiving);
        ledger.set_bytes(self.key, CONNECTION_BYTES);
    }

    /// Waits until the connection has to make room.
    pub async fn reclaimed(&self) {
        self.reclaimed.wait().await;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.lock().remove(self.key);
    }
}
