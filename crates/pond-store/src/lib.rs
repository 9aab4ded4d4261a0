//! Durable files of a control replica: a write-ahead log in segments, and snapshots.
//!
//! All files live in one folder. Nothing counts as kept before [`Store::sync`] returns. A torn
//! end of the log is cut; any other damage is refused with its place and what to do.

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
