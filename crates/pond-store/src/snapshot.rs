//! Snapshot files. A snapshot is written to a temporary file, synced, then renamed.

use pond_proto::quorum::SnapshotHeader;
use prost::Message;

use crate::{Disk, Error};

const PREFIX: &str = "snapshot-";
const TEMPORARY_FILE: &str = "aside-snapshot";

/// Length of the prefix, in bytes: the checksum and the length of the head.
const PREFIX_BYTES: usize = 8;

/// A snapshot of the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Its index, its term and the members.
    pub head: SnapshotHeader,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// Returns the name of the snapshot that covers entries up to `index`.
pub fn name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

/// Returns the index of a snapshot, if `name` is the name of a snapshot.
pub fn index(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Writes a snapshot atomically.
pub fn write(disk: &mut dyn Disk, snapshot: &Snapshot) -> Result<(), Error> {
    let head = snapshot.head.encode_to_vec();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&head), &snapshot.data);
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + head.len() + snapshot.data.len());
    bytes.extend_from_slice(&sum.to_be_bytes());
    bytes.extend_from_slice(&(head.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&snapshot.data);

    let name = name(snapshot.head.index);
    remove_temporary(disk)?;
    let written = disk.append(TEMPORARY_FILE, &bytes).and_then(|()| disk.sync(TEMPORARY_FILE));
    if let Err(source) = written {
        let _ = disk.remove(TEMPORARY_FILE);
        return Err(Error::io(TEMPORARY_FILE, "write", source));
    }
    disk.rename(TEMPORARY_FILE, &name).map_err(|source| Error::io(&name, "rename", source))?;
    disk.sync_directory().map_err(|source| Error::io(&name, "sync the folder", source))
}

/// Removes the temporary file that a crash may have left.
pub fn remove_temporary(disk: &mut dyn Disk) -> Result<(), Error> {
    let names = disk.list().map_err(|source| Error::io(TEMPORARY_FILE, "list", source))?;
    if names.iter().any(|name| name == TEMPORARY_FILE) {
        disk.remove(TEMPORARY_FILE)
            .map_err(|source| Error::io(TEMPORARY_FILE, "remove", source))?;
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
    let length = u32::from_be_bytes(bytes.get(4..PREFIX_BYTES)?.try_into().ok()?) as usize;
    if crc32c::crc32c(bytes.get(PREFIX_BYTES..)?) != sum {
        return None;
    }
    let head =
        SnapshotHeader::decode(bytes.get(PREFIX_BYTES..PREFIX_BYTES.checked_add(length)?)?).ok()?;
    Some(Snapshot { head, data: bytes[PREFIX_BYTES + length..].to_vec() })
}
