//! The file that holds the format of the folder and the identity of the disk.

use crate::{Disk, Error};

const FILE: &str = "identity";
const TEMPORARY_FILE: &str = "aside-identity";

/// The format that this program writes.
const FORMAT: u32 = 1;

/// Returns the identity of the disk. If the folder is new, a random identity is created and synced.
pub fn open(disk: &mut dyn Disk) -> Result<u64, Error> {
    let names = disk.list().map_err(|source| Error::io(FILE, "list", source))?;
    if names.iter().any(|name| name == FILE) {
        return read(disk);
    }
    if let Some(file) = names.iter().find(|name| *name != TEMPORARY_FILE) {
        let what = "the folder has files but no identity file".to_owned();
        return Err(Error::Damaged { file: file.clone(), offset: 0, what });
    }
    create(disk)
}

fn read(disk: &dyn Disk) -> Result<u64, Error> {
    let bytes = disk.read(FILE).map_err(|source| Error::io(FILE, "read", source))?;
    let text = String::from_utf8_lossy(&bytes);
    let mut words = text.split_whitespace();
    let format = words.next().unwrap_or_default().to_owned();
    if format != FORMAT.to_string() {
        return Err(Error::Format { file: FILE.to_owned(), found: format, known: FORMAT });
    }
    let id = words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
    id.ok_or_else(|| Error::Damaged {
        file: FILE.to_owned(),
        offset: 2,
        what: "there is no valid identity after the format".to_owned(),
    })
}

fn create(disk: &mut dyn Disk) -> Result<u64, Error> {
    let id = rand::random::<u64>().max(1);
    let text = format!("{FORMAT} {id:016x}\n");
    let io = |source| Error::io(FILE, "write", source);
    let _ = disk.remove(TEMPORARY_FILE);
    disk.append(TEMPORARY_FILE, text.as_bytes()).map_err(io)?;
    disk.sync(TEMPORARY_FILE).map_err(io)?;
    disk.rename(TEMPORARY_FILE, FILE).map_err(io)?;
    disk.sync_directory().map_err(io)?;
    Ok(id)
}
