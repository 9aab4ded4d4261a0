//! Interface between the store and the files.

use std::fmt::Debug;
use std::io;

/// A folder of files without subfolders. Writes are durable only after a sync.
///
/// [`crate::Folder`] is a real folder. [`crate::Memory`] is a simulated one that can lose unsynced data.
pub trait Disk: Debug + Send {
    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the complete content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Returns the free space in bytes, if it is known.
    fn free_bytes(&self) -> Option<u64> {
        None
    }
}
