//! A small but complete installation in one process, on loopback.
//!
//! Each role runs on its own threads and communicates over real sockets, as separate processes
//! would. Stand-ins replace the platform.

mod folder;
mod installation;
mod plan;
mod record;
mod standins;

pub use installation::Installation;
pub use plan::{Options, Plan};
