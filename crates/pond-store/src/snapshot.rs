//! Snapshot files: written aside, synced, then renamed.

use pond_proto::quorum::SnapshotHead;
use prost::Message;

use crate::{Disk, Error};

const PREFIX: &str = "snapshot-";
const ASIDE: &str = "aside-snapshot";

/// Length of the checksum and the head's length before the head, in bytes.
const LEAD: usize = 8;

/// A snapshot of the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// What it stands for.
    pub head: SnapshotHead,
    /// The state's bytes.
    pub data: Vec<u8>,
}

/// The name of the snapshot that holds entries up to `index`.
pub fn name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

/// The index in a snapshot's name.
pub fn index(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Writes a snapshot so that it is there whole or not at all.
pub fn write(disk: &mut dyn Disk, snapshot: &Snapshot) -> Result<(), Error> {
    let head = snapshot.head.encode_to_vec();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&head), &snapshot.data);
    let mut bytes = Vec::with_capacity(LEAD + head.len() + snapshot.data.len());
    bytes.extend_from_slice(&sum.to_be_bytes());
    bytes.extend_from_slice(&(head.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&snapshot.data);

    let name = name(snapshot.head.index);
    remove_aside(disk)?;
    let written = disk.append(ASIDE, &bytes).and_then(|()| disk.sync(ASIDE));
    if let Err(source) = written {
        let _ = disk.remove(ASIDE);
        return Err(Error::io(ASIDE, "write", source));
    }
    disk.rename(ASIDE, &name).map_err(|source| Error::io(&name, "rename", source))?;
    disk.sync_names().map_err(|source| Error::io(&name, "sync the folder", source))
}

/// Removes what a crash left of a snapshot that was being written.
pub fn remove_aside(disk: &mut dyn Disk) -> Result<(), Error> {
    let names = disk.list().map_err(|source| Error::io(ASIDE, "list", source))?;
    if names.iter().any(|name| name == ASIDE) {
        disk.remove(ASIDE).map_err(|source| Error::io(ASIDE, "remove", source))?;
    }
    Ok(())
}

/// Reads a snapshot.
pub fn read(disk: &dyn Disk, name: &str) -> Result<Snapshot, Error> {
    let bytes = disk.read(name).map_err(|source| Error::io(name, "read", source))?;
    decode(&bytes).ok_or_else(|| Error::Damaged {
        file: name.to_owned(),
        offset: 0,
        what: "the snapshot does not match its checksum".to_owned(),
    })
}

fn decode(bytes: &[u8]) -> Option<Snapshot> {
    let sum = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?);
    let length = u32::from_be_bytes(bytes.get(4..LEAD)?.try_into().ok()?) as usize;
    if crc32c::crc32c(bytes.get(LEAD..)?) != sum {
        return None;
    }
    let head = SnapshotHead::decode(bytes.get(LEAD..LEAD.checked_add(length)?)?).ok()?;
    Some(Snapshot { head, data: bytes[LEAD + length..].to_vec() })
}
