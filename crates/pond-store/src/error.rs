//! What can go wrong with durable files.

use std::io;

use snafu::Snafu;

/// What can go wrong with durable files.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The system refused an operation.
    #[snafu(display("{file}: cannot {action}: {source}"))]
    Io {
        /// The file.
        file: String,
        /// What was tried.
        action: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// The disk is full; nothing of the group was kept, and all before it is.
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
    /// A file is damaged in a place that had been synced.
    #[snafu(display(
        "{file}: damaged at byte {offset}: {what}; move the folder away and start the replica \
         empty, so that it is replaced from the others"
    ))]
    Damaged {
        /// The file.
        file: String,
        /// Where.
        offset: u64,
        /// What is wrong there.
        what: String,
    },
    /// The folder was written by another version.
    #[snafu(display(
        "{file}: format {found}, this program reads {known}; start the version that wrote it"
    ))]
    Format {
        /// The file.
        file: String,
        /// The format found.
        found: String,
        /// The format known.
        known: u32,
    },
    /// An earlier write or sync failed, so the state of the files is not known.
    #[snafu(display("an earlier write failed; restart the process so that it reads its files"))]
    Broken,
}

impl Error {
    pub(crate) fn io(file: &str, action: &'static str, source: io::Error) -> Error {
        if matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded) {
            return Error::Full { file: file.to_owned() };
        }
        Error::Io { file: file.to_owned(), action, source }
    }

    /// Tells a lock that another process holds from a system that gives none.
    pub fn lock(folder: &str, source: io::Error) -> Error {
        if source.raw_os_error() == fs2::lock_contended_error().raw_os_error() {
            return Error::Locked { folder: folder.to_owned() };
        }
        Error::io(folder, "lock", source)
    }
}
