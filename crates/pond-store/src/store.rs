//! The write-ahead log and its snapshots together.

use std::collections::BTreeMap;

use pond_proto::quorum::{Batch, Entry, Hard};

use crate::batch;
use crate::snapshot::Snapshot;
use crate::{Disk, Error, identity, segment, snapshot};

/// A segment is closed when it has grown beyond this many bytes.
const SEGMENT_BYTES: usize = 16 << 20;

/// What was found on the disk.
#[derive(Debug)]
pub struct Recovered {
    /// The disk's identity.
    pub id: u64,
    /// Term, vote and commit index.
    pub hard: Hard,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Entry>,
    /// Bytes that were cut from a torn end.
    pub truncated_bytes: usize,
}

/// A segment that is in use.
#[derive(Clone, Copy, Debug)]
struct Segment {
    first_batch: u64,
    /// The highest index of an entry in it.
    last_index: u64,
    bytes: usize,
}

/// The newest batch while it is not synced: where it begins in the last segment, and its bytes.
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
    hard: Hard,
    broken: bool,
    unsynced: Option<Unsynced>,
    /// A full disk refused a write or a sync, so what stands behind the last synced batch is not
    /// known. Nothing more is written before it is cut, and the newest batch written again.
    in_doubt: bool,
    segment_bytes: usize,
}

impl Store {
    /// Opens the files, cuts a torn end, and reads what is there.
    ///
    /// # Errors
    /// See [`Error`]; on damage nothing is changed.
    pub fn open(mut disk: Box<dyn Disk>) -> Result<(Store, Recovered), Error> {
        let id = identity::open(disk.as_mut())?;
        snapshot::remove_aside(disk.as_mut())?;
        let names = disk.list().map_err(|source| Error::io("folder", "list", source))?;
        let snapshot = newest_snapshot(disk.as_ref(), &names)?;
        let mut store = Store {
            disk,
            segments: Vec::new(),
            next_batch: 1,
            hard: Hard::default(),
            broken: false,
            unsynced: None,
            in_doubt: false,
            segment_bytes: SEGMENT_BYTES,
        };
        let floor = snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        let (entries, truncated_bytes) = store.replay(&names, floor)?;
        store.keep_what_was_read()?;
        let hard = store.hard;
        Ok((store, Recovered { id, hard, snapshot, entries, truncated_bytes }))
    }

    /// Makes segments close after that many bytes.
    pub fn with_segment_bytes(mut self, bytes: usize) -> Store {
        self.segment_bytes = bytes;
        self
    }

    fn replay(&mut self, names: &[String], floor: u64) -> Result<(Vec<Entry>, usize), Error> {
        let segments: Vec<&String> =
            names.iter().filter(|name| segment::first(name).is_some()).collect();
        let mut entries = BTreeMap::new();
        let mut cut = 0;
        for (i, name) in segments.iter().enumerate() {
            let last = i + 1 == segments.len();
            let first_batch = segment::first(name).unwrap_or_default();
            if i > 0 && first_batch != self.next_batch {
                let what = format!("batch {} is missing before it", self.next_batch);
                return Err(Error::Damaged { file: (*name).clone(), offset: 0, what });
            }
            let content = segment::read(self.disk.as_ref(), name, last)?;
            cut += self.cut_torn_end(name, &content)?;
            self.next_batch = first_batch + content.batches.len() as u64;
            let bytes = content.whole;
            let mut last_index = 0;
            for framed in content.batches {
                self.hard = framed.batch.hard.unwrap_or(self.hard);
                if let Some(keep_to) = framed.batch.keep_to {
                    entries.split_off(&(keep_to + 1));
                }
                for entry in framed.batch.entries {
                    last_index = last_index.max(entry.index);
                    entries.split_off(&entry.index);
                    entries.insert(entry.index, entry);
                }
            }
            self.segments.push(Segment { first_batch, last_index, bytes });
        }
        entries.retain(|index, _| *index > floor);
        self.check_gaps(&entries, floor, &segments)?;
        Ok((entries.into_values().collect(), cut))
    }

    /// A process that was killed may have left entries and names that were not synced. The replica
    /// answers for what it reads now, so it must outlast a loss of power: one sync of the last
    /// segment, as older ones were synced when it was made, and one of the folder.
    fn keep_what_was_read(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.last() else { return Ok(()) };
        if last.bytes == 0 && self.segments.len() > 1 {
            // It was made, and power was lost before the hard state was in it.
            self.write(&Batch::default())?;
        }
        if let Some(last) = self.segments.last() {
            self.unsynced.get_or_insert(Unsynced { at: last.bytes, bytes: Vec::new() });
        }
        self.sync()?;
        self.disk.sync_names().map_err(|source| Error::io("folder", "sync", source))
    }

    fn cut_torn_end(&mut self, name: &str, content: &segment::Content) -> Result<usize, Error> {
        let cut = content.length - content.whole;
        if cut > 0 {
            let io = |source| Error::io(name, "cut the torn end", source);
            self.disk.truncate(name, content.whole as u64).map_err(io)?;
            self.disk.sync(name).map_err(io)?;
        }
        Ok(cut)
    }

    fn check_gaps(
        &self,
        entries: &BTreeMap<u64, Entry>,
        floor: u64,
        segments: &[&String],
    ) -> Result<(), Error> {
        let expected = floor + 1..;
        let gap = entries.keys().zip(expected).find(|(index, expected)| *index != expected);
        let Some((index, expected)) = gap else { return Ok(()) };
        Err(Error::Damaged {
            file: segments.last().map(|name| (*name).clone()).unwrap_or_default(),
            offset: 0,
            what: format!("entry {expected} is missing before entry {index}"),
        })
    }

    /// Writes a group of entries and the hard state; they last once [`Store::sync`] has returned.
    ///
    /// # Errors
    /// [`Error::Full`] leaves all that was there before in place, and the same write can be tried
    /// again. After any other error the store may refuse further writes.
    pub fn append(&mut self, hard: Option<Hard>, entries: &[Entry]) -> Result<(), Error> {
        let batch = Batch { hard, entries: entries.to_vec(), keep_to: None };
        self.write(&batch)
    }

    /// Writes one batch. The one before it is synced first, see the module `batch`. The first one of
    /// a segment carries the hard state, so that older segments can be removed.
    fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        self.sync()?;
        self.open_segment()?;
        let Some(segment) = self.segments.last_mut() else { return Err(Error::Broken) };
        let mut batch = batch.clone();
        if segment.bytes == 0 {
            batch.hard.get_or_insert(self.hard);
        }
        let bytes = batch::encode(self.next_batch, &batch);
        let name = segment::name(segment.first_batch);
        if let Err(source) = self.disk.append(&name, &bytes) {
            return Err(self.refused(Error::io(&name, "write", source)));
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

    /// A write was refused: what it left is cut now, or before the next write if that is refused, too.
    fn refused(&mut self, error: Error) -> Error {
        self.in_doubt = true;
        match self.mend() {
            Ok(()) | Err(Error::Full { .. }) => {}
            Err(_) => self.broken = true,
        }
        error
    }

    /// Cuts what stands behind the last synced batch if that is in doubt, and writes the newest
    /// batch again.
    fn mend(&mut self) -> Result<(), Error> {
        let Some(segment) = self.segments.last().filter(|_| self.in_doubt) else { return Ok(()) };
        let name = segment::name(segment.first_batch);
        let whole = self.unsynced.as_ref().map_or(segment.bytes, |newest| newest.at);
        let cut = self.disk.truncate(&name, whole as u64);
        cut.map_err(|source| Error::io(&name, "cut", source))?;
        if let Some(newest) = &self.unsynced {
            let again = self.disk.append(&name, &newest.bytes);
            again.map_err(|source| Error::io(&name, "write again", source))?;
        }
        self.in_doubt = false;
        Ok(())
    }

    fn open_segment(&mut self) -> Result<(), Error> {
        let full = self.segments.last().is_none_or(|last| last.bytes >= self.segment_bytes);
        if !full {
            return Ok(());
        }
        let name = segment::name(self.next_batch);
        let io = |source| Error::io(&name, "make", source);
        self.disk.append(&name, &[]).map_err(io)?;
        self.disk.sync_names().map_err(io)?;
        self.segments.push(Segment { first_batch: self.next_batch, last_index: 0, bytes: 0 });
        Ok(())
    }

    /// Makes all that was written last.
    ///
    /// # Errors
    /// [`Error::Full`] leaves what was written to be synced by a later call. After any other error
    /// the store refuses further writes, as it is not known what lasted.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.broken {
            return Err(Error::Broken);
        }
        let synced = self.mend().and_then(|()| self.sync_newest());
        match &synced {
            Ok(()) => self.unsynced = None,
            // The system may have dropped what it could not keep, and would not say so again.
            Err(Error::Full { .. }) => self.in_doubt = true,
            Err(_) => self.broken = true,
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

    /// Writes a snapshot, then removes older snapshots and segments that it makes needless.
    ///
    /// # Errors
    /// See [`Error`]; what was there before stays usable.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.sync()?;
        snapshot::write(self.disk.as_mut(), snapshot)?;
        self.remove_old(snapshot.head.index)
    }

    /// Writes a snapshot that replaces the log, as a follower that was far behind does.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn replace(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.save(snapshot)?;
        let keep_to = Some(snapshot.head.index);
        self.write(&Batch { keep_to, ..Batch::default() })?;
        self.sync()
    }

    fn remove_old(&mut self, index: u64) -> Result<(), Error> {
        let io = |source| Error::io("folder", "remove old files", source);
        for name in self.disk.list().map_err(io)? {
            if snapshot::index(&name).is_some_and(|other| other < index) {
                self.disk.remove(&name).map_err(io)?;
            }
        }
        // At a loss of power one that was removed may come back without the one after it, and a gap
        // is refused: so each removal lasts before the next, also one of an earlier call.
        self.disk.sync_names().map_err(io)?;
        while self.first_is_needless(index) {
            self.disk.remove(&segment::name(self.segments[0].first_batch)).map_err(io)?;
            self.segments.remove(0);
            self.disk.sync_names().map_err(io)?;
        }
        Ok(())
    }

    /// Whether a snapshot at `index` holds all of the first segment, and a later one the hard state.
    fn first_is_needless(&self, index: u64) -> bool {
        let later = self.segments.iter().skip(1).any(|segment| segment.bytes > 0);
        later && self.segments.first().is_some_and(|first| first.last_index <= index)
    }

    /// Bytes that are free on the disk, if it tells.
    pub fn free_bytes(&self) -> Option<u64> {
        self.disk.free_bytes()
    }

    /// Bytes of the log's files.
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }
}

fn newest_snapshot(disk: &dyn Disk, names: &[String]) -> Result<Option<Snapshot>, Error> {
    let newest = names.iter().filter(|name| snapshot::index(name).is_some()).max();
    newest.map(|name| snapshot::read(disk, name)).transpose()
}
