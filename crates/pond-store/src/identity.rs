//! The file that holds the format of the folder, the identity of the disk, and the addresses of the replicas
//! that form the quorum if the folder was made when the system started for the first time.

use crate::{Disk, Error};

const FILE: &str = "identity";
const TEMPORARY_FILE: &str = "aside-identity";

/// The format that this program writes.
const FORMAT: u32 = 1;

/// The content of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The identity of the disk.
    pub id: u64,
    /// Addresses of the replicas that form the quorum; empty if the folder was made later.
    pub initial: Vec<String>,
}

/// Returns the identity of the disk. If the folder is new, a random identity is created and synced together
/// with the addresses of the replicas that form the quorum.
pub fn open(disk: &mut dyn Disk, initial: &[String]) -> Result<Identity, Error> {
    let names = disk.list().map_err(|source| Error::io(FILE, "list", source))?;
    if names.iter().any(|name| name == FILE) {
        return read(disk);
    }
    if let Some(file) = names.iter().find(|name| *name != TEMPORARY_FILE) {
        let what = "the folder has files but no identity file".to_owned();
        return Err(Error::Damaged { file: file.clone(), offset: 0, what });
    }
    create(disk, initial)
}

fn read(disk: &dyn Disk) -> Result<Identity, Error> {
    let bytes = disk.read(FILE).map_err(|source| Error::io(FILE, "read", source))?;
    let text = String::from_utf8_lossy(&bytes);
    let mut words = text.split_whitespace();
    let format = words.next().unwrap_or_default().to_owned();
    if format != FORMAT.to_string() {
        return Err(Error::Format { file: FILE.to_owned(), found: format, known: FORMAT });
    }
    let id = words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
    let id = id.ok_or_else(|| Error::Damaged {
        file: FILE.to_owned(),
        offset: 2,
        what: "there is no valid identity after the format".to_owned(),
    })?;
    Ok(Identity { id, initial: words.map(str::to_owned).collect() })
}

fn create(disk: &mut dyn Disk, initial: &[String]) -> Result<Identity, Error> {
    let id = rand::random::<u64>().max(1);
    let initial = initial.to_vec();
    let words: Vec<String> =
        [FORMAT.to_string(), format!("{id:016x}")].into_iter().chain(initial.clone()).collect();
    let text = format!("{}\n", words.join(" "));
    let io = |source| Error::io(FILE, "write", source);
    let _ = disk.remove(TEMPORARY_FILE);
    disk.append(TEMPORARY_FILE, text.as_bytes()).map_err(io)?;
    disk.sync(TEMPORARY_FILE).map_err(io)?;
    disk.rename(TEMPORARY_FILE, FILE).map_err(io)?;
    disk.sync_directory().map_err(io)?;
    Ok(Identity { id, initial })
}
