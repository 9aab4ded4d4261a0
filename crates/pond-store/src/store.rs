//! The write-ahead log together with its snapshots.

use std::collections::BTreeMap;

use pond_proto::quorum::{Batch, Entry, HardState};

use crate::batch;
use crate::identity::Identity;
use crate::snapshot::Snapshot;
use crate::{Disk, Error, identity, segment, snapshot};

/// Size of a segment, in bytes, from which on the next batch starts a new segment.
const SEGMENT_BYTES: usize = 16 << 20;

/// The data that was found on the disk.
#[derive(Debug)]
pub struct Recovered {
    /// The disk's identity.
    pub id: u64,
    /// Addresses of the replicas that form the quorum, if the folder was made when the system started for the
    /// first time.
    pub initial: Vec<String>,
    /// Term, vote and commit index.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Entry>,
    /// Number of bytes of a torn write that were truncated from the end of the log.
    pub truncated_bytes: usize,
}

/// A segment of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    first_batch: u64,
    /// The highest index of its entries.
    last_index: u64,
    bytes: usize,
}

/// The newest batch while it is not synced: its position in the last segment, and its bytes.
#[derive(Debug)]
struct Unsynced {
    at: usize,
    bytes: Vec<u8>,
}

/// The durable files of one replica.
#[derive(Debug)]
pub struct Store {
    disk: Box<dyn Disk>,
    segments: Vec<Segment>,
    next_batch: u64,
    hard: HardState,
    failed: bool,
    unsynced: Option<Unsynced>,
    /// Whether a write or a sync failed because the disk was full, so that the content after the last
    /// synced batch is unknown. Before the next write, that content is truncated and the newest batch is
    /// rewritten.
    in_doubt: bool,
    segment_bytes: usize,
}

impl Store {
    /// Opens the files, truncates a torn write at the end, and reads the content.
    ///
    /// # Errors
    /// See [`Error`]; damaged files are left unchanged.
    pub fn open(disk: Box<dyn Disk>) -> Result<(Store, Recovered), Error> {
        Store::open_initial(disk, &[])
    }

    /// Like [`Store::open`]. If the folder is new, it also keeps `initial`, the addresses of the replicas that
    /// form the quorum, so that they still do if all of them stop before any has a log.
    ///
    /// # Errors
    /// See [`Error`]; damaged files are left unchanged.
    pub fn open_initial(
        mut disk: Box<dyn Disk>,
        initial: &[String],
    ) -> Result<(Store, Recovered), Error> {
        let Identity { id, initial } = identity::open(disk.as_mut(), initial)?;
        snapshot::remove_temporary(disk.as_mut())?;
        let names = disk.list().map_err(|source| Error::io("folder", "list", source))?;
        let snapshot = newest_snapshot(disk.as_ref(), &names)?;
        let mut store = Store {
            disk,
            segments: Vec::new(),
            next_batch: 1,
            hard: HardState::default(),
            failed: false,
            unsynced: None,
            in_doubt: false,
            segment_bytes: SEGMENT_BYTES,
        };
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        let (entries, truncated_bytes) = store.replay(&names, snapshot_index)?;
        store.sync_recovered()?;
        let hard = store.hard;
        Ok((store, Recovered { id, initial, hard, snapshot, entries, truncated_bytes }))
    }

    /// Sets the size of a segment, in bytes, from which on the next batch starts a new segment.
    pub fn with_segment_bytes(mut self, bytes: usize) -> Store {
        self.segment_bytes = bytes;
        self
    }

    fn replay(
        &mut self,
        names: &[String],
        snapshot_index: u64,
    ) -> Result<(Vec<Entry>, usize), Error> {
        let segments: Vec<&String> =
            names.iter().filter(|name| segment::first_batch(name).is_some()).collect();
        let mut entries = BTreeMap::new();
        let mut truncated_bytes = 0;
        for (i, name) in segments.iter().enumerate() {
            let last = i + 1 == segments.len();
            let first_batch = segment::first_batch(name).unwrap_or_default();
            if i > 0 && first_batch != self.next_batch {
                let what = format!("batch {} is missing before this segment", self.next_batch);
                return Err(Error::Damaged { file: (*name).clone(), offset: 0, what });
            }
            let content = segment::read(self.disk.as_ref(), name, last)?;
            truncated_bytes += self.truncate_torn_end(name, &content)?;
            self.next_batch = first_batch + content.batches.len() as u64;
            let bytes = content.valid_bytes;
            let mut last_index = 0;
            for framed in content.batches {
                self.hard = framed.batch.hard.unwrap_or(self.hard);
                if let Some(truncate_after) = framed.batch.truncate_after {
                    entries.split_off(&(truncate_after + 1));
                }
                for entry in framed.batch.entries {
                    last_index = last_index.max(entry.index);
                    entries.split_off(&entry.index);
                    entries.insert(entry.index, entry);
                }
            }
            self.segments.push(Segment { first_batch, last_index, bytes });
        }
        entries.retain(|index, _| *index > snapshot_index);
        self.check_gaps(&entries, snapshot_index, &segments)?;
        Ok((entries.into_values().collect(), truncated_bytes))
    }

    /// Makes the recovered data durable. A killed process may have left unsynced entries and names. The
    /// replica acknowledges what it reads now, so that must survive a power loss. This takes one sync of
    /// the last segment, since older ones were synced before it was created, and one of the folder.
    fn sync_recovered(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.last() else { return Ok(()) };
        if last.bytes == 0 && self.segments.len() > 1 {
            // Power was lost after the segment was created and before the hard state was written to it.
            self.write(&Batch::default())?;
        }
        if let Some(last) = self.segments.last() {
            self.unsynced.get_or_insert(Unsynced { at: last.bytes, bytes: Vec::new() });
        }
        self.sync()?;
        self.disk.sync_directory().map_err(|source| Error::io("folder", "sync", source))
    }

    fn truncate_torn_end(
        &mut self,
        name: &str,
        content: &segment::Content,
    ) -> Result<usize, Error> {
        let truncated_bytes = content.file_bytes - content.valid_bytes;
        if truncated_bytes > 0 {
            let io = |source| Error::io(name, "truncate the torn end", source);
            self.disk.truncate(name, content.valid_bytes as u64).map_err(io)?;
            self.disk.sync(name).map_err(io)?;
        }
        Ok(truncated_bytes)
    }

    fn check_gaps(
        &self,
        entries: &BTreeMap<u64, Entry>,
        snapshot_index: u64,
        segments: &[&String],
    ) -> Result<(), Error> {
        let expected = snapshot_index + 1..;
        let gap = entries.keys().zip(expected).find(|(index, expected)| *index != expected);
        let Some((index, expected)) = gap else { return Ok(()) };
        Err(Error::Damaged {
            file: segments.last().map(|name| (*name).clone()).unwrap_or_default(),
            offset: 0,
            what: format!("entry {expected} is missing before entry {index}"),
        })
    }

    /// Writes a group of entries and the hard state. They are durable once [`Store::sync`] has returned.
    ///
    /// # Errors
    /// After [`Error::Full`] all earlier data is intact, and the same write can be retried. After any
    /// other error the store may reject further writes.
    pub fn append(&mut self, hard: Option<HardState>, entries: &[Entry]) -> Result<(), Error> {
        let batch = Batch { hard, entries: entries.to_vec(), truncate_after: None };
        self.write(&batch)
    }

    /// Writes one batch. The previous batch is synced first; see the module `batch`. The first batch of
    /// a segment includes the hard state, so that older segments can be removed.
    fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        self.sync()?;
        self.open_segment()?;
        let Some(segment) = self.segments.last_mut() else { return Err(Error::EarlierFailure) };
        let mut batch = batch.clone();
        if segment.bytes == 0 {
            batch.hard.get_or_insert(self.hard);
        }
        let bytes = batch::encode(self.next_batch, &batch);
        let name = segment::name(segment.first_batch);
        if let Err(source) = self.disk.append(&name, &bytes) {
            return Err(self.write_failed(Error::io(&name, "write", source)));
        }
        let at = segment.bytes;
        segment.bytes += bytes.len();
        if let Some(last) = batch.entries.last() {
            segment.last_index = segment.last_index.max(last.index);
        }
        self.next_batch += 1;
        self.hard = batch.hard.unwrap_or(self.hard);
        self.unsynced = Some(Unsynced { at, bytes });
        Ok(())
    }

    /// Handles a failed write. What it left in the file is truncated now or, if that fails because the disk
    /// is full, before the next write.
    fn write_failed(&mut self, error: Error) -> Error {
        self.in_doubt = true;
        match self.repair_tail() {
            Ok(()) | Err(Error::Full { .. }) => {}
            Err(_) => self.failed = true,
        }
        error
    }

    /// If the content after the last synced batch is in doubt, truncates it and rewrites the newest batch.
    fn repair_tail(&mut self) -> Result<(), Error> {
        let Some(segment) = self.segments.last().filter(|_| self.in_doubt) else { return Ok(()) };
        let name = segment::name(segment.first_batch);
        let valid_bytes = self.unsynced.as_ref().map_or(segment.bytes, |newest| newest.at);
        let truncated = self.disk.truncate(&name, valid_bytes as u64);
        truncated.map_err(|source| Error::io(&name, "truncate", source))?;
        if let Some(newest) = &self.unsynced {
            let rewritten = self.disk.append(&name, &newest.bytes);
            rewritten.map_err(|source| Error::io(&name, "rewrite", source))?;
        }
        self.in_doubt = false;
        Ok(())
    }

    fn open_segment(&mut self) -> Result<(), Error> {
        let needs_segment =
            self.segments.last().is_none_or(|last| last.bytes >= self.segment_bytes);
        if !needs_segment {
            return Ok(());
        }
        let name = segment::name(self.next_batch);
        let io = |source| Error::io(&name, "create", source);
        self.disk.append(&name, &[]).map_err(io)?;
        self.disk.sync_directory().map_err(io)?;
        self.segments.push(Segment { first_batch: self.next_batch, last_index: 0, bytes: 0 });
        Ok(())
    }

    /// Makes all written data durable.
    ///
    /// # Errors
    /// After [`Error::Full`] a later call can sync the same data. After any other error the store rejects
    /// further writes, because it is unknown which data is durable.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.failed {
            return Err(Error::EarlierFailure);
        }
        let synced = self.repair_tail().and_then(|()| self.sync_newest());
        match &synced {
            Ok(()) => self.unsynced = None,
            // The system may have dropped data that it could not store, and a second sync would not report that.
            Err(Error::Full { .. }) => self.in_doubt = true,
            Err(_) => self.failed = true,
        }
        synced
    }

    fn sync_newest(&mut self) -> Result<(), Error> {
        let Some(segment) = self.segments.last().filter(|_| self.unsynced.is_some()) else {
            return Ok(());
        };
        let name = segment::name(segment.first_batch);
        self.disk.sync(&name).map_err(|source| Error::io(&name, "sync", source))
    }

    /// Writes a snapshot, then removes the older snapshots and segments that it makes obsolete.
    ///
    /// # Errors
    /// See [`Error`]; the previous data stays usable.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.sync()?;
        snapshot::write(self.disk.as_mut(), snapshot)?;
        self.remove_old(snapshot.head.index)
    }

    /// Writes a snapshot that replaces the log. A follower that was far behind uses it.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn replace(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.save(snapshot)?;
        let truncate_after = Some(snapshot.head.index);
        self.write(&Batch { truncate_after, ..Batch::default() })?;
        self.sync()
    }

    fn remove_old(&mut self, index: u64) -> Result<(), Error> {
        let io = |source| Error::io("folder", "remove old files", source);
        for name in self.disk.list().map_err(io)? {
            if snapshot::index(&name).is_some_and(|other| other < index) {
                self.disk.remove(&name).map_err(io)?;
            }
        }
        // After a power loss a removed segment may reappear without the one after it, and such a gap is
        // an error. So each removal is made durable before the next, including those of an earlier call.
        self.disk.sync_directory().map_err(io)?;
        while self.first_segment_is_obsolete(index) {
            self.disk.remove(&segment::name(self.segments[0].first_batch)).map_err(io)?;
            self.segments.remove(0);
            self.disk.sync_directory().map_err(io)?;
        }
        Ok(())
    }

    /// Whether a snapshot at `index` covers the whole first segment, and a later segment holds the hard
    /// state.
    fn first_segment_is_obsolete(&self, index: u64) -> bool {
        let later = self.segments.iter().skip(1).any(|segment| segment.bytes > 0);
        later && self.segments.first().is_some_and(|first| first.last_index <= index)
    }

    /// Returns the free space on the disk in bytes, if it is known.
    pub fn free_bytes(&self) -> Option<u64> {
        self.disk.free_bytes()
    }

    /// Returns the total size of the log's files, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }
}

fn newest_snapshot(disk: &dyn Disk, names: &[String]) -> Result<Option<Snapshot>, Error> {
    let newest = names.iter().filter(|name| snapshot::index(name).is_some()).max();
    newest.map(|name| snapshot::read(disk, name)).transpose()
}
