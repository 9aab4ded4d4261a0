//! The file that names the folder's format and the disk's identity.

use crate::{Disk, Error};

const NAME: &str = "identity";
const ASIDE: &str = "aside-identity";

/// The format that this program writes.
const FORMAT: u32 = 1;

/// The identity of the disk, drawn and synced when the folder is new.
pub fn open(disk: &mut dyn Disk) -> Result<u64, Error> {
    let names = disk.list().map_err(|source| Error::io(NAME, "list", source))?;
    if names.iter().any(|name| name == NAME) {
        return read(disk);
    }
    if let Some(file) = names.iter().find(|name| *name != ASIDE) {
        let what = "there are files but no identity".to_owned();
        return Err(Error::Damaged { file: file.clone(), offset: 0, what });
    }
    create(disk)
}

fn read(disk: &dyn Disk) -> Result<u64, Error> {
    let bytes = disk.read(NAME).map_err(|source| Error::io(NAME, "read", source))?;
    let text = String::from_utf8_lossy(&bytes);
    let mut words = text.split_whitespace();
    let format = words.next().unwrap_or_default().to_owned();
    if format != FORMAT.to_string() {
        return Err(Error::Format { file: NAME.to_owned(), found: format, known: FORMAT });
    }
    let id = words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
    id.ok_or_else(|| Error::Damaged {
        file: NAME.to_owned(),
        offset: 2,
        what: "no identity after the format".to_owned(),
    })
}

fn create(disk: &mut dyn Disk) -> Result<u64, Error> {
    let id = rand::random::<u64>().max(1);
    let text = format!("{FORMAT} {id:016x}\n");
    let io = |source| Error::io(NAME, "write", source);
    let _ = disk.remove(ASIDE);
    disk.append(ASIDE, text.as_bytes()).map_err(io)?;
    disk.sync(ASIDE).map_err(io)?;
    disk.rename(ASIDE, NAME).map_err(io)?;
    disk.sync_names().map_err(io)?;
    Ok(id)
}
