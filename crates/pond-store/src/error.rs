//! Errors of the durable files.

use std::io;

use snafu::Snafu;

/// Errors of the durable files.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system reported an error.
    #[snafu(display("{file}: cannot {action}: {source}"))]
    Io {
        /// The file.
        file: String,
        /// The attempted operation.
        action: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk is full. Nothing of the current group was stored; all earlier groups were.
    #[snafu(display(
        "{file}: the disk is full; free space in the data folder's file system and try again"
    ))]
    Full {
        /// The file.
        file: String,
    },
    /// Another process uses the folder.
    #[snafu(display("{folder}: another process holds the lock; stop it or use another folder"))]
    Locked {
        /// The folder.
        folder: String,
    },
    /// A file is damaged at a position that had been synced.
    #[snafu(display(
        "{file}: damaged at byte {offset}: {what}; move the folder away and start the replica \
         empty, so that it is replaced from the others"
    ))]
    Damaged {
        /// The file.
        file: String,
        /// The position of the damage, in bytes.
        offset: u64,
        /// A description of the damage.
        what: String,
    },
    /// The folder was written by an incompatible version.
    #[snafu(display(
        "{file}: format {found}, but this program reads format {known}; start the version that wrote it"
    ))]
    Format {
        /// The file.
        file: String,
        /// The format that was found.
        found: String,
        /// The format that this program reads.
        known: u32,
    },
    /// An earlier write or sync failed, so the state of the files is unknown.
    #[snafu(display("an earlier write failed; restart the process so that it reads its files"))]
    EarlierFailure,
}

impl Error {
    pub(crate) fn io(file: &str, action: &'static str, source: io::Error) -> Error {
        if matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded) {
            return Error::Full { file: file.to_owned() };
        }
        Error::Io { file: file.to_owned(), action, source }
    }

    /// Converts an error of locking a folder. Distinguishes a lock that another process holds from other
    /// failures.
    pub fn lock(folder: &str, source: io::Error) -> Error {
        if source.raw_os_error() == fs2::lock_contended_error().raw_os_error() {
            return Error::Locked { folder: folder.to_owned() };
        }
        Error::io(folder, "lock", source)
    }
}
