//! A whole small installation in one process, on loopback.
//!
//! Each role runs on its own threads with real sockets between them, as it would as a process of
//! its own. What the platform gives is played by the stand-ins.

mod folder;
mod installation;
mod plan;
mod record;
mod standins;

pub use installation::Installation;
pub use plan::{Options, Plan};
