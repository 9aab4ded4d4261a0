//! A disk that is full for a while, from every call on and for any number of calls, also with power
//! lost before or after it has room again. Nothing that was told to last is lost, nothing half
//! written is believed, and once there is room all is written in its order.

use std::ops::Range;

use pond_proto::quorum::{Entry, Hard, Kind, Members, SnapshotHead};
use pond_store::{Crash, Error, Memory, Recovered, Snapshot, Store, Write, Writer};

/// Groups that are written.
const GROUPS: u64 = 14;

/// Entries of a group.
const ENTRIES: u64 = 3;

/// While one of these groups is the last that was told to last, snapshots up to it are saved.
const SAVED: Range<u64> = 2..8;

/// After this group a leader's snapshot replaces the log.
const REPLACED_AFTER: u64 = 9;

/// Entries that the leader's snapshot holds beyond the own ones.
const AHEAD: u64 = 10;

/// Segments as small as two groups, so that several are made and removed.
const SEGMENT: usize = 400;

/// Calls that are refused in a row.
const REFUSED: [u64; 5] = [1, 2, 3, 7, 40];

/// What a loss of power leaves.
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
    let head = SnapshotHead { index, term: 1, members: Members::default() };
    Snapshot { head, data: vec![42; 100] }
}

/// The index of the last entry of a group.
fn last_index(group: u64) -> u64 {
    let ahead = if group > REPLACED_AFTER { AHEAD } else { 0 };
    group * ENTRIES + ahead
}

fn group(number: u64) -> Write {
    let last = last_index(number);
    let entries = (last - ENTRIES + 1..=last).map(|index| entry(index, number)).collect();
    Write::Batch { hard: Some(Hard { term: number, vote: 7, commit: 0 }), entries }
}

/// A replica's files, what was told to last, and what was handed in.
struct Files {
    disk: Memory,
    writer: Writer<u64>,
    told: u64,
    /// Groups were handed in since the writer said that all last.
    owes: bool,
}

impl Files {
    fn new(disk: Memory) -> Files {
        let (store, _) = open(&disk).expect("opens");
        let store = store.with_segment_bytes(SEGMENT);
        Files { disk, writer: Writer::new(store), told: 0, owes: false }
    }

    fn flush(&mut self) {
        let flushed = self.writer.flush().expect("a full disk is no error");
        for told in flushed.released {
            assert_eq!(told, self.told + 1, "in order");
            self.told = told;
        }
        assert!(!flushed.all_durable || self.writer.is_empty());
        self.owes &= !flushed.all_durable;
    }

    /// Hands in a group and what belongs after it.
    fn step(&mut self, number: u64) {
        self.writer.enqueue(group(number));
        self.owes = true;
        if number == REPLACED_AFTER {
            let snapshot = snapshot(last_index(number) + AHEAD);
            self.writer.enqueue(Write::Snapshot { snapshot, keeps_log: false });
        }
        self.writer.enqueue_after(number);
        self.flush();
        // A snapshot holds what was told; also while a group waits for room.
        if SAVED.contains(&self.told) {
            self.writer.save(&snapshot(last_index(self.told))).expect("a full disk is no error");
        }
    }

    /// Whether a loss of power keeps all that was told to last.
    fn outlasts(&self, crash: Crash) {
        let copy = self.disk.copy();
        copy.fail_as_full(0..0);
        copy.crash(crash);
        let (_, recovered) = open(&copy).expect("opens after a loss of power");
        holds(&recovered, self.told);
    }
}

/// The files hold all groups up to `told`, perhaps more, and nothing in pieces.
fn holds(recovered: &Recovered, told: u64) {
    assert!(recovered.hard.term >= told, "hard state {:?}, told {told}", recovered.hard);
    let floor = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
    let last = recovered.entries.last().map_or(floor, |entry| entry.index);
    assert!(last >= last_index(told), "entries up to {last}, told {}", last_index(told));
    for (expected, entry) in (floor + 1..).zip(&recovered.entries) {
        assert_eq!(entry.index, expected);
    }
}

/// Calls of a whole play with nothing refused.
fn calls() -> u64 {
    let disk = Memory::new();
    let mut files = Files::new(disk.clone());
    disk.fail_as_full(0..0);
    (1..=GROUPS).for_each(|number| files.step(number));
    assert_eq!(files.told, GROUPS);
    disk.changes()
}

#[test]
fn whatever_is_refused_is_written_once_there_is_room() {
    for from in 0..calls() {
        for count in REFUSED {
            let disk = Memory::new();
            let mut files = Files::new(disk.clone());
            disk.fail_as_full(from..from + count);
            (1..=GROUPS).for_each(|number| files.step(number));
            for _ in 0..=count {
                files.flush();
            }
            assert!(!files.owes && !files.writer.full());
            assert_eq!(files.told, GROUPS, "{count} calls refused from {from} on");
            files.outlasts(Crash::DropUnsynced);
            let (_, recovered) = open(&disk).expect("opens");
            assert_eq!(recovered.entries.last(), Some(&entry(last_index(GROUPS), GROUPS)));
        }
    }
}

#[test]
fn nothing_that_was_told_to_last_is_lost_with_power_at_any_time() {
    for from in 0..calls() {
        for count in REFUSED {
            let disk = Memory::new();
            let mut files = Files::new(disk.clone());
            disk.fail_as_full(from..from + count);
            for number in 1..=GROUPS {
                files.step(number);
                CRASHES.into_iter().for_each(|crash| files.outlasts(crash));
            }
        }
    }
}

#[test]
fn full_disk_at_a_start_changes_nothing_and_a_later_start_succeeds() {
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
            let (_, recovered) = open(&full).expect("opens once there is room");
            assert_eq!(recovered.id, before.id);
            holds(&recovered, GROUPS);
        }
    }
}

#[test]
fn new_disk_that_is_full_gets_its_identity_later() {
    for from in 0..8 {
        let disk = Memory::new();
        disk.fail_as_full(from..from + 2);
        let refused = open(&disk).map(|(_, recovered)| recovered.id);
        disk.fail_as_full(0..0);
        let (_, recovered) = open(&disk).expect("opens once there is room");
        if let Ok(id) = refused {
            assert_eq!(recovered.id, id);
        }
    }
}
