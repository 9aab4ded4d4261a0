//! A control replica for jobs.
//!
//! A single task owns the quorum, the files, the state and all decisions, and blocks while the disk
//! syncs. A replica whose disk hangs therefore sends no heartbeats and loses leadership. Links and
//! operators feed the task through bounded queues.

mod addresses;
mod admission;
mod adviser;
mod audit;
mod callers;
mod formation;
mod handle;
mod lead;
mod membership;
mod operators;
mod outputs;
mod peers;
mod pending;
mod redundancy;
mod removal;
mod replica;

pub use admission::{Admitter, Submission};
pub use adviser::Adviser;
pub use formation::{Formation, MemberChange};
pub use handle::{Evacuated, Evacuation, Handle, RequestError};
pub use redundancy::Redundancy;
pub use removal::Removal;
pub use replica::{Replica, Settings};
