//! Small stand-ins for what the platform gives: workers, endpoints and the VM list.
//!
//! They speak the contracts of `docs/contracts/` and nothing else. A worker runs its tasks as
//! counts of time, an endpoint answers after its service time. What an endpoint ran is recorded,
//! so that a load tool can compare.

mod endpoint;
mod list;
mod program;
mod record;
mod server;
mod worker;

pub use endpoint::Endpoint;
pub use list::{LaggingList, ListServer};
pub use program::Program;
pub use record::{Ran, Record};
pub use server::{Host, WorkerServer};
pub use worker::{Held, Worker};
