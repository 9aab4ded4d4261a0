//! The connection of entries and endpoint processes to the control replicas.
//!
//! A process keeps a link to every control replica. The leader sends the configuration and decides
//! claims. The version in force is acknowledged on every link, so that a new leader knows at once
//! which version each process has.

mod control;

pub use control::{Control, HEARTBEAT_INTERVAL, Notification, SILENCE_TIMEOUT};
