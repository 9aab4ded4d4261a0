//! Durable files of a control replica: a write-ahead log in segments, and snapshots.
//!
//! All files are in one folder. Data is durable only after [`Store::sync`] has returned. A torn write
//! at the end of the log is truncated; for any other damage, opening fails with an error that names the
//! position and the remedy.

mod batch;
mod disk;
mod error;
mod folder;
mod identity;
mod memory;
mod segment;
mod snapshot;
mod store;
mod writer;

pub use disk::Disk;
pub use error::Error;
pub use folder::Folder;
pub use memory::{Crash, Memory};
pub use snapshot::Snapshot;
pub use store::{Recovered, Store};
pub use writer::{Flushed, Write, Writer};
