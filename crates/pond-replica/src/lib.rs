//! A control replica for jobs.
//!
//! One task owns the quorum, the files, the state and all decisions, and blocks while the disk
//! syncs: a replica whose disk hangs sends no heartbeats and loses the lead. Links and operators
//! feed it through bounded queues.

mod adviser;
mod audit;
mod callers;
mod formation;
mod handle;
mod lead;
mod operators;
mod outputs;
mod peers;
mod pending;
mod replica;

pub use adviser::Adviser;
pub use formation::{Formation, MemberChange};
pub use handle::{Evacuated, Evacuation, Handle, RequestError};
pub use replica::{Replica, Settings};
