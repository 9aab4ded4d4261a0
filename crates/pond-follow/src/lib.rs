//! How entries and endpoint processes follow the control replicas.
//!
//! A process keeps a link to every control replica. The one that says it leads sends the
//! configuration and takes claims. What is in force is acknowledged on every link, so that a new
//! leader knows at once where each process stands.

mod control;

pub use control::{Control, HEARTBEAT_INTERVAL, Notification, SILENCE_TIMEOUT};
