//! The names of the log's segment files, and reading a segment.

use crate::batch::{self, Framed};
use crate::{Disk, Error};

const PREFIX: &str = "log-";

/// Returns the name of the segment whose first batch has this number.
pub fn name(first: u64) -> String {
    format!("{PREFIX}{first:020}")
}

/// Returns the number of the segment's first batch, if `name` is the name of a segment.
pub fn first_batch(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// The content of a segment.
pub struct Content {
    /// Its valid batches.
    pub batches: Vec<Framed>,
    /// Length of the part with valid batches, in bytes.
    pub valid_bytes: usize,
    /// Length of the file, in bytes.
    pub file_bytes: usize,
}

/// Reads a segment. A torn write at its end is accepted only in the last segment.
pub fn read(disk: &dyn Disk, name: &str, last: bool) -> Result<Content, Error> {
    let bytes = disk.read(name).map_err(|source| Error::io(name, "read", source))?;
    let mut expected = first_batch(name).unwrap_or_default();
    let mut batches = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let framed = batch::decode(&bytes[at..]).filter(|framed| framed.number == expected);
        let Some(framed) = framed else {
            if !last || batch::contains_later(&bytes[at..], expected) {
                let what = format!("batch {expected} does not match its checksum");
                return Err(Error::Damaged { file: name.to_owned(), offset: at as u64, what });
            }
            break;
        };
        expected += 1;
        at += framed.length;
        batches.push(framed);
    }
    Ok(Content { batches, valid_bytes: at, file_bytes: bytes.len() })
}
