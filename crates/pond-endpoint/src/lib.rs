//! An endpoint process: forwards all requests to the endpoints of its VM.
//!
//! It runs on the same VM as the endpoints, accepts offers from entries, enforces slots and
//! connection limits, and calls the endpoints over persistent HTTP/1.1 connections.

mod process;
mod serve;

pub use process::Process;
