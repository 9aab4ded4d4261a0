//! Recovery of the durable files after a crash at any point.

use std::io;

use pond_proto::quorum::{Entry, HardState, Kind, Members, SnapshotHeader};
use pond_store::{Crash, Disk, Error, Memory, Recovered, Snapshot, Store};
use pond_test::cases;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn entry(index: u64, term: u64) -> Entry {
    let data = format!("entry {index} of term {term}").into_bytes();
    Entry { index, term, kind: Kind::Change as i32, data }
}

fn hard(term: u64) -> Option<HardState> {
    Some(HardState { term, vote: 7, commit: 0 })
}

fn snapshot(index: u64) -> Snapshot {
    let head = SnapshotHeader { index, term: 1, members: Members::default() };
    Snapshot { head, data: vec![42; 100] }
}

fn open(disk: &Memory) -> (Store, Recovered) {
    Store::open(Box::new(disk.clone())).expect("opens")
}

/// Returns a disk to which `groups` groups of three entries were written and synced.
fn disk_with(groups: u64) -> Memory {
    let disk = Memory::new();
    let (store, _) = open(&disk);
    let mut store = store.with_segment_bytes(300);
    for group in 0..groups {
        let entries: Vec<Entry> = (1..=3).map(|i| entry(group * 3 + i, 1)).collect();
        store.append(hard(1), &entries).expect("writes");
        store.sync().expect("syncs");
    }
    disk
}

fn last_segment(disk: &Memory) -> String {
    let names = disk.list().expect("lists");
    names.into_iter().filter(|name| name.starts_with("log-")).max().expect("a segment")
}

#[test]
fn synced_data_survives_a_crash() {
    let disk = disk_with(10);
    disk.crash(Crash::DropUnsynced);
    let (_, recovered) = open(&disk);
    assert_eq!(recovered.entries.len(), 30);
    assert_eq!(recovered.hard.vote, 7);
    assert_eq!(recovered.truncated_bytes, 0);
}

#[test]
fn every_prefix_of_an_unsynced_group_recovers_to_the_synced_data() {
    let size = {
        let disk = disk_with(1);
        disk.read(&last_segment(&disk)).expect("reads").len()
    };
    for kept in 0..=size + 10 {
        let disk = disk_with(1);
        let (mut store, _) = open(&disk);
        let entries: Vec<Entry> = (4..=6).map(|index| entry(index, 2)).collect();
        store.append(hard(2), &entries).expect("writes");
        disk.crash(Crash::KeepBytes(kept));
        let (mut store, recovered) = open(&disk);
        let count = recovered.entries.len();
        assert!(count == 3 || count == 6, "{kept} bytes kept gave {count} entries");
        assert_eq!(recovered.hard.term, if count == 6 { 2 } else { 1 });
        // Data written after a truncated end is durable as well.
        store.append(None, &[entry(count as u64 + 1, 3)]).expect("writes");
        store.sync().expect("syncs");
        disk.crash(Crash::DropUnsynced);
        assert_eq!(open(&disk).1.entries.len(), count + 1);
    }
}

#[test]
fn rewritten_entry_replaces_all_later_entries() {
    let disk = disk_with(2);
    let (mut store, _) = open(&disk);
    store.append(hard(2), &[entry(4, 2)]).expect("writes");
    store.sync().expect("syncs");
    let (_, recovered) = open(&disk);
    let terms: Vec<u64> = recovered.entries.iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [1, 1, 1, 2]);
}

#[test]
fn damage_before_the_end_is_rejected_and_located() {
    let disk = disk_with(10);
    let names = disk.list().expect("lists");
    let first = names.iter().find(|name| name.starts_with("log-")).expect("a segment");
    disk.damage(first, 30);
    let error = Store::open(Box::new(disk.copy())).expect_err("rejects");
    assert!(matches!(&error, Error::Damaged { file, .. } if file == first), "{error}");
    assert!(error.to_string().contains("move the folder away"));
}

#[test]
fn damage_in_the_last_segment_before_a_valid_group_is_rejected() {
    let disk = disk_with(2);
    // With this segment size, further groups go into the same segment.
    let (store, _) = open(&disk);
    let mut store = store.with_segment_bytes(1 << 20);
    for index in 7..=9 {
        store.append(None, &[entry(index, 1)]).expect("writes");
        store.sync().expect("syncs");
    }
    let name = last_segment(&disk);
    disk.damage(&name, 25);
    let error = Store::open(Box::new(disk.copy())).expect_err("rejects");
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}

#[test]
fn damaged_snapshot_is_rejected() {
    let disk = disk_with(5);
    let (mut store, _) = open(&disk);
    store.save(&snapshot(9)).expect("saves");
    let names = disk.list().expect("lists");
    let name = names.iter().find(|name| name.starts_with("snapshot-")).expect("a snapshot");
    disk.damage(name, 50);
    let error = Store::open(Box::new(disk.copy())).expect_err("rejects");
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}

#[test]
fn snapshot_removes_obsolete_segments_and_keeps_the_rest() {
    let disk = disk_with(10);
    let first = "log-00000000000000000001".to_owned();
    assert!(disk.list().expect("lists").contains(&first));
    let (mut store, _) = open(&disk);
    store.save(&snapshot(15)).expect("saves");
    assert!(!disk.list().expect("lists").contains(&first));
    disk.crash(Crash::DropUnsynced);
    let (_, recovered) = open(&disk);
    assert_eq!(recovered.snapshot, Some(snapshot(15)));
    let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, (16..=30).collect::<Vec<_>>());
    assert_eq!(recovered.hard.term, 1);
}

#[test]
fn snapshot_that_replaces_the_log_removes_all_entries() {
    let disk = disk_with(3);
    let (mut store, _) = open(&disk);
    store.replace(&snapshot(4)).expect("replaces");
    disk.crash(Crash::DropUnsynced);
    let (_, recovered) = open(&disk);
    assert_eq!(recovered.entries, []);
    assert_eq!(recovered.snapshot, Some(snapshot(4)));
}

#[test]
fn full_disk_rejects_writes_and_keeps_accepted_data() {
    let disk = disk_with(2);
    let used: usize = disk
        .list()
        .expect("lists")
        .iter()
        .map(|name| disk.read(name).map_or(0, |bytes| bytes.len()))
        .sum();
    let (mut store, _) = open(&disk);
    disk.set_capacity(Some(used + 10));
    let error = store.append(hard(3), &[entry(7, 3)]).expect_err("rejects");
    assert!(matches!(error, Error::Full { .. }), "{error}");
    // The same store continues once there is space.
    disk.set_capacity(None);
    store.append(hard(3), &[entry(7, 3)]).expect("writes");
    store.sync().expect("syncs");
    assert_eq!(open(&disk).1.entries.len(), 7);
}

/// Guards against initial replicas that are forgotten, taken from a later start, or expected in files of earlier versions.
#[test]
fn initial_replicas_are_those_of_the_first_start() {
    let disk = Memory::new();
    let initial = ["10.0.0.1:1".to_owned(), "10.0.0.2:1".to_owned()];
    let open_initial = |disk: &Memory, initial: &[String]| {
        Store::open_initial(Box::new(disk.clone()), initial).expect("opens").1.initial
    };
    assert_eq!(open_initial(&disk, &initial), initial);
    disk.crash(Crash::DropUnsynced);
    assert_eq!(open_initial(&disk, &initial[..1]), initial);
    let mut earlier = Memory::new();
    earlier.append("identity", b"1 0000000000000001\n").expect("writes");
    assert_eq!(open_initial(&earlier, &initial), Vec::<String>::new());
}

#[test]
fn identity_is_created_once_and_an_empty_disk_gets_another() {
    let disk = disk_with(1);
    let first = open(&disk).1.id;
    assert_eq!(open(&disk).1.id, first);
    assert_ne!(open(&Memory::new()).1.id, first);
}

#[test]
fn folder_of_another_format_is_rejected() {
    let mut disk = Memory::new();
    disk.append("identity", b"9 0000000000000001\n").expect("writes");
    let error = Store::open(Box::new(disk)).expect_err("rejects");
    assert!(matches!(error, Error::Format { .. }), "{error}");
}

proptest! {
    #![proptest_config(cases(400))]

    /// Whichever byte is damaged, files are read correctly or rejected.
    #[test]
    fn damaged_files_are_never_read_incorrectly(position in any::<prop::sample::Index>(), which in any::<prop::sample::Index>()) {
        let disk = disk_with(6);
        let names = disk.list().expect("lists");
        let name = &names[which.index(names.len())];
        let length = disk.read(name).expect("reads").len();
        disk.damage(name, position.index(length));
        let Ok((_, recovered)) = Store::open(Box::new(disk.copy())) else { return Ok(()) };
        for (i, found) in recovered.entries.iter().enumerate() {
            prop_assert_eq!(found, &entry(i as u64 + 1, 1));
        }
        // Only the last group may be missing, as after a torn write.
        prop_assert!(recovered.entries.len() >= 15);
    }

    /// Arbitrary bytes in place of a segment are rejected or read as an empty segment.
    #[test]
    fn garbage_is_never_read_as_entries(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut disk = Memory::new();
        open(&disk);
        disk.append("log-00000000000000000001", &bytes).expect("writes");
        if let Ok((_, recovered)) = Store::open(Box::new(disk)) {
            prop_assert_eq!(recovered.entries, []);
        }
    }
}

#[test]
fn folder_locked_by_another_process_is_distinguished_from_one_that_cannot_be_locked() {
    let held = pond_store::Error::lock("f", fs2::lock_contended_error());
    assert!(held.to_string().contains("another process holds the lock"));
    let other = pond_store::Error::lock("f", std::io::Error::from_raw_os_error(9));
    assert!(other.to_string().contains("f: cannot lock: Bad file descriptor"));
}

#[test]
fn data_read_after_a_kill_survives_a_power_loss() {
    // A replica that is killed before its sync reads, at its next start, data that is not durable yet,
    // and acknowledges it like everything else in its log.
    let disk = disk_with(2);
    let (mut store, _) = open(&disk);
    store.append(hard(2), &[entry(7, 2)]).expect("writes");
    disk.crash(Crash::KeepAll);
    let (_, read) = open(&disk);
    assert_eq!(read.entries.len(), 7);
    disk.crash(Crash::DropUnsynced);
    let (_, recovered) = open(&disk);
    assert_eq!((recovered.entries, recovered.hard), (read.entries, read.hard));
}

/// A disk that loses power after a given number of modifications.
#[derive(Debug)]
struct FailingDisk {
    disk: Memory,
    changes_left: usize,
}

impl FailingDisk {
    fn change<T>(&mut self, act: impl FnOnce(&mut Memory) -> io::Result<T>) -> io::Result<T> {
        self.changes_left = self.changes_left.checked_sub(1).ok_or(io::ErrorKind::NotConnected)?;
        act(&mut self.disk)
    }
}

impl Disk for FailingDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.change(|disk| disk.append(name, bytes))
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.change(|disk| disk.truncate(name, length))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk| disk.sync(name))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change(|disk| disk.rename(from, to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk| disk.remove(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.change(Memory::sync_directory)
    }
}

/// The synced data that a replica may have acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
struct Synced {
    term: u64,
    snapshot: u64,
    last: u64,
}

impl Synced {
    fn read(recovered: &Recovered) -> Synced {
        let snapshot = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        let last = recovered.entries.last().map_or(snapshot, |entry| entry.index);
        Synced { term: recovered.hard.term, snapshot, last }
    }

    /// Writes until the power is lost. A step counts once it has returned without an error.
    fn write(&mut self, store: &mut Store, rng: &mut StdRng) -> Result<(), Error> {
        loop {
            match rng.random_range(0..10) {
                0 => {
                    let index = rng.random_range(self.snapshot..=self.last);
                    store.save(&snapshot(index))?;
                    self.snapshot = index;
                }
                1 => {
                    let index = self.last + rng.random_range(1..5);
                    store.replace(&snapshot(index))?;
                    (self.snapshot, self.last) = (index, index);
                }
                _ => {
                    let term = self.term + rng.random_range(0..2);
                    let last = self.last + rng.random_range(0..4);
                    let entries: Vec<Entry> =
                        (self.last + 1..=last).map(|index| entry(index, 1)).collect();
                    store.append(hard(term), &entries)?;
                    store.sync()?;
                    (self.term, self.last) = (term, last);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(cases(2000))]

    /// Power is lost repeatedly, at any modification of the disk, also while a replica starts.
    #[test]
    fn synced_data_survives_power_losses_at_any_time(seed in any::<u64>()) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (disk, mut synced) = (Memory::new(), Synced::default());
        for _ in 0..6 {
            let failing = FailingDisk { disk: disk.clone(), changes_left: rng.random_range(0..120) };
            if let Ok((store, recovered)) = Store::open(Box::new(failing)) {
                synced = Synced::read(&recovered);
                let mut store = store.with_segment_bytes(200);
                prop_assert!(synced.write(&mut store, &mut rng).is_err());
            }
            disk.crash(Crash::KeepRandom(rng.random()));
            let opened = Store::open(Box::new(disk.copy()));
            prop_assert!(opened.is_ok(), "the files do not open: {:?}", opened.err());
            let found = opened.map(|(_, recovered)| Synced::read(&recovered)).unwrap_or_default();
            prop_assert!(found.term >= synced.term, "{found:?} of {synced:?}");
            prop_assert!(found.snapshot >= synced.snapshot, "{found:?} of {synced:?}");
            prop_assert!(found.last >= synced.last, "{found:?} of {synced:?}");
        }
    }
}
