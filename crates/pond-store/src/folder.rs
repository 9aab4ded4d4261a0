//! Durable files in a real folder.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use fs2::FileExt;

use crate::{Disk, Error};

/// Name of the file whose lock protects the folder against other processes.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked for this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: BTreeMap<String, File>,
    _lock: File,
}

impl Folder {
    /// Opens a folder and acquires its lock. The folder is created if it does not exist.
    ///
    /// # Errors
    /// [`Error::Locked`] if another process holds the lock, [`Error::Full`] or [`Error::Io`] otherwise.
    pub fn open(path: &Path) -> Result<Folder, Error> {
        let displayed = path.display().to_string();
        fs::create_dir_all(path)
            .map_err(|source| Error::io(&displayed, "create the folder", source))?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            let synced = File::open(parent).and_then(|file| file.sync_all());
            synced.map_err(|source| Error::io(&displayed, "sync the parent folder", source))?;
        }
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(|source| Error::io(&displayed, "open the lock", source))?;
        lock.try_lock_exclusive().map_err(|source| Error::lock(&displayed, source))?;
        Ok(Folder { path: path.to_owned(), open: BTreeMap::new(), _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            names.extend(name.to_str().filter(|name| *name != LOCK_FILE).map(str::to_owned));
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn free_bytes(&self) -> Option<u64> {
        fs2::available_space(&self.path).ok()
    }
}
