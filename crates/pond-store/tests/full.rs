//! A disk that is full for a while, starting at every possible call and for several numbers of calls, also
//! with a power loss before or after there is space again. Nothing that was reported durable may be lost,
//! partial writes must not be read as data, and once there is space everything is written in order.

use std::ops::Range;

use pond_proto::quorum::{Entry, HardState, Kind, Members, SnapshotHeader};
use pond_store::{Crash, Error, Memory, Recovered, Snapshot, Store, Write, Writer};

/// Number of groups that are written.
const GROUPS: u64 = 14;

/// Number of entries in a group.
const ENTRIES: u64 = 3;

/// While one of these groups is the last that was reported durable, snapshots up to it are saved.
const SNAPSHOT_GROUPS: Range<u64> = 2..8;

/// After this group a snapshot from the leader replaces the log.
const REPLACED_AFTER: u64 = 9;

/// Number of entries in the leader's snapshot beyond those in the log.
const AHEAD: u64 = 10;

/// Size of a segment, in bytes: about two groups, so that several segments are created and removed.
const SEGMENT_BYTES: usize = 400;

/// Numbers of consecutive calls that fail.
const FAILED_CALLS: [u64; 5] = [1, 2, 3, 7, 40];

/// The kinds of power loss.
const CRASHES: [Crash; 4] =
    [Crash::DropUnsynced, Crash::KeepAll, Crash::KeepBytes(25), Crash::KeepRandom(7)];

fn open(disk: &Memory) -> Result<(Store, Recovered), Error> {
    Store::open(Box::new(disk.clone()))
}

fn entry(index: u64, term: u64) -> Entry {
    let data = format!("entry {index} of term {term}").into_bytes();
    Entry { index, term, kind: Kind::Change as i32, data }
}

fn snapshot(index: u64) -> Snapshot {
    let head = SnapshotHeader { index, term: 1, members: Members::default() };
    Snapshot { head, data: vec![42; 100] }
}

/// Returns the index of the last entry of a group.
fn last_index(group: u64) -> u64 {
    let ahead = if group > REPLACED_AFTER { AHEAD } else { 0 };
    group * ENTRIES + ahead
}

fn group(number: u64) -> Write {
    let last = last_index(number);
    let entries = (last - ENTRIES + 1..=last).map(|index| entry(index, number)).collect();
    Write::Batch { hard: Some(HardState { term: number, vote: 7, commit: 0 }), entries }
}

/// The files of a replica, with what was enqueued and what was reported durable.
struct Files {
    disk: Memory,
    writer: Writer<u64>,
    reported: u64,
    /// Whether groups were enqueued since the writer last reported that all are durable.
    has_unsynced: bool,
}

impl Files {
    fn new(disk: Memory) -> Files {
        let (store, _) = open(&disk).expect("opens");
        let store = store.with_segment_bytes(SEGMENT_BYTES);
        Files { disk, writer: Writer::new(store), reported: 0, has_unsynced: false }
    }

    fn flush(&mut self) {
        let flushed = self.writer.flush().expect("a full disk is no error");
        for reported in flushed.released {
            assert_eq!(reported, self.reported + 1, "in order");
            self.reported = reported;
        }
        assert!(!flushed.all_durable || self.writer.is_empty());
        self.has_unsynced &= !flushed.all_durable;
    }

    /// Enqueues a group and the item after it, then flushes.
    fn step(&mut self, number: u64) {
        self.writer.enqueue(group(number));
        self.has_unsynced = true;
        if number == REPLACED_AFTER {
            let snapshot = snapshot(last_index(number) + AHEAD);
            self.writer.enqueue(Write::Snapshot { snapshot, keeps_log: false });
        }
        self.writer.enqueue_after(number);
        self.flush();
        // A snapshot covers what was reported durable, also while a group waits for space.
        if SNAPSHOT_GROUPS.contains(&self.reported) {
            self.writer
                .save(&snapshot(last_index(self.reported)))
                .expect("a full disk is no error");
        }
    }

    /// Asserts that all data that was reported durable survives a power loss.
    fn assert_survives(&self, crash: Crash) {
        let copy = self.disk.copy();
        copy.fail_as_full(0..0);
        copy.crash(crash);
        let (_, recovered) = open(&copy).expect("opens after a power loss");
        assert_holds(&recovered, self.reported);
    }
}

/// Asserts that the files hold at least all groups up to `reported`, and no partial data.
fn assert_holds(recovered: &Recovered, reported: u64) {
    assert!(
        recovered.hard.term >= reported,
        "hard state {:?}, reported {reported}",
        recovered.hard
    );
    let floor = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
    let last = recovered.entries.last().map_or(floor, |entry| entry.index);
    assert!(
        last >= last_index(reported),
        "entries up to {last}, reported {}",
        last_index(reported)
    );
    for (expected, entry) in (floor + 1..).zip(&recovered.entries) {
        assert_eq!(entry.index, expected);
    }
}

/// Counts the modifying calls of a complete run without failures.
fn count_calls() -> u64 {
    let disk = Memory::new();
    let mut files = Files::new(disk.clone());
    disk.fail_as_full(0..0);
    (1..=GROUPS).for_each(|number| files.step(number));
    assert_eq!(files.reported, GROUPS);
    disk.changes()
}

#[test]
fn failed_writes_are_repeated_once_there_is_space() {
    for from in 0..count_calls() {
        for count in FAILED_CALLS {
            let disk = Memory::new();
            let mut files = Files::new(disk.clone());
            disk.fail_as_full(from..from + count);
            (1..=GROUPS).for_each(|number| files.step(number));
            for _ in 0..=count {
                files.flush();
            }
            assert!(!files.has_unsynced && !files.writer.full());
            assert_eq!(files.reported, GROUPS, "{count} calls failed from {from} on");
            files.assert_survives(Crash::DropUnsynced);
            let (_, recovered) = open(&disk).expect("opens");
            assert_eq!(recovered.entries.last(), Some(&entry(last_index(GROUPS), GROUPS)));
        }
    }
}

#[test]
fn nothing_reported_durable_is_lost_in_a_power_loss_at_any_time() {
    for from in 0..count_calls() {
        for count in FAILED_CALLS {
            let disk = Memory::new();
            let mut files = Files::new(disk.clone());
            disk.fail_as_full(from..from + count);
            for number in 1..=GROUPS {
                files.step(number);
                CRASHES.into_iter().for_each(|crash| files.assert_survives(crash));
            }
        }
    }
}

#[test]
fn full_disk_at_startup_changes_nothing_and_a_later_start_succeeds() {
    let disk = Memory::new();
    let mut files = Files::new(disk.clone());
    (1..=GROUPS).for_each(|number| files.step(number));
    drop(files);
    for crash in CRASHES {
        let torn = disk.copy();
        let (mut store, before) = open(&torn).expect("opens");
        store.append(None, &[entry(last_index(GROUPS) + 1, GROUPS)]).expect("writes");
        torn.crash(crash);
        for from in 0..12 {
            let full = torn.copy();
            full.fail_as_full(from..from + 1);
            let first = open(&full);
            if let Err(error) = &first {
                assert!(matches!(error, Error::Full { .. }), "{error}");
            }
            drop(first);
            full.fail_as_full(0..0);
            let (_, recovered) = open(&full).expect("opens once there is space");
            assert_eq!(recovered.id, before.id);
            assert_holds(&recovered, GROUPS);
        }
    }
}

#[test]
fn new_disk_that_is_full_gets_its_identity_once_there_is_space() {
    for from in 0..8 {
        let disk = Memory::new();
        disk.fail_as_full(from..from + 2);
        let first_id = open(&disk).map(|(_, recovered)| recovered.id);
        disk.fail_as_full(0..0);
        let (_, recovered) = open(&disk).expect("opens once there is space");
        if let Ok(id) = first_id {
            assert_eq!(recovered.id, id);
        }
    }
}
