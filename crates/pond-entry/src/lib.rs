//! An entry: takes in callers' requests and routes them to endpoints.
//!
//! One thread reads requests and writes answers; another holds the router and its links. They are
//! joined by a bounded ring.

mod caller;
mod header;
mod process;
mod route;

pub use process::Process;
