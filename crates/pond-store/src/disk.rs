//! The border between the store and the files.

use std::fmt::Debug;
use std::io;

/// A flat folder of files. Writes last only once they are synced.
///
/// [`crate::Folder`] is the real one; [`crate::Memory`] forgets what was not synced when told to.
pub trait Disk: Debug + Send {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end of a file, which is made if it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content last.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, replacing what had it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes new, renamed and removed names last.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Bytes that are free, if that is known.
    fn free_bytes(&self) -> Option<u64> {
        None
    }
}
