//! An entry: accepts callers' requests and routes them to endpoints.
//!
//! One thread serves callers over HTTP; another runs the router and its links. A bounded channel
//! connects them.

mod caller;
mod header;
mod process;
mod route;

pub use process::Process;
