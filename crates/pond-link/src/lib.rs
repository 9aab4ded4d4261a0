//! Links between the processes of pondbay.
//!
//! A link is a long-lived TCP connection that carries length-delimited prost frames in both
//! directions. Each end first sends a hello with its protocol version, role and incarnation.
//! Heartbeats detect dead links. Send queues and frame sizes are bounded. A lost link is dialled
//! again with exponential backoff and jitter.

mod accept;
mod config;
mod connection;
mod dial;
mod error;
mod event;

pub use accept::accept;
pub use config::Config;
pub use dial::dial;
pub use error::Error;
pub use event::{Event, EventKind, LinkKey, Sender};
