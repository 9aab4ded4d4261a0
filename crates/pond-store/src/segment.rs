//! Names of the log's files, and how one of them is read.

use crate::batch::{self, Framed};
use crate::{Disk, Error};

const PREFIX: &str = "log-";

/// The name of the segment whose first batch has that number.
pub fn name(first: u64) -> String {
    format!("{PREFIX}{first:020}")
}

/// The number of a segment's first batch, if it is a segment's name.
pub fn first(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// What a segment holds.
pub struct Content {
    /// Its whole batches.
    pub batches: Vec<Framed>,
    /// Length of the whole part, in bytes.
    pub whole: usize,
    /// Length of the file, in bytes.
    pub length: usize,
}

/// Reads a segment. A torn end is allowed only in the last one.
pub fn read(disk: &dyn Disk, name: &str, last: bool) -> Result<Content, Error> {
    let bytes = disk.read(name).map_err(|source| Error::io(name, "read", source))?;
    let mut expected = first(name).unwrap_or_default();
    let mut batches = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let framed = batch::decode(&bytes[at..]).filter(|framed| framed.number == expected);
        let Some(framed) = framed else {
            if !last || batch::any_after(&bytes[at..], expected) {
                let what = format!("batch {expected} does not match its checksum");
                return Err(Error::Damaged { file: name.to_owned(), offset: at as u64, what });
            }
            break;
        };
        expected += 1;
        at += framed.length;
        batches.push(framed);
    }
    Ok(Content { batches, whole: at, length: bytes.len() })
}
