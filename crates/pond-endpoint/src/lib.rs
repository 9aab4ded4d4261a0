//! An endpoint process: the only way to the endpoints of its VM.
//!
//! It stands beside the endpoints, takes offers from entries, keeps slots and connection limits,
//! and calls the endpoints over HTTP/1.1 on kept connections.

mod process;
mod serve;

pub use process::Process;
