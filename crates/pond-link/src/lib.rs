//! Links between pondbay's own processes.
//!
//! One long-lived TCP connection for each pair, carrying length-delimited prost frames in both
//! directions. A link opens with a hello that names protocol version, role and life; heartbeats
//! keep it alive; queues are bounded on both sides; frames are limited in size. A dialled link is
//! made again when it is lost, with a wait that grows and is spread at random.

mod accept;
mod dial;
mod error;
mod event;
mod pump;
mod terms;

pub use accept::accept;
pub use dial::dial;
pub use error::Error;
pub use event::{Event, EventKind, LinkKey, Sender};
pub use terms::Config;
