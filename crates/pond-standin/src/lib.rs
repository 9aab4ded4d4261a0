//! A simulated platform: workers, endpoints and the VM list.
//!
//! It implements the protocols of `docs/contracts/` and nothing else. A worker simulates tasks by
//! elapsed time, and an endpoint answers after its service time. Endpoints record the requests that
//! they ran, so that a load tool can compare them with the answers that callers got.

mod endpoint;
mod list;
mod program;
mod record;
mod server;
mod worker;

pub use endpoint::Endpoint;
pub use list::{LaggingList, ListServer};
pub use program::Program;
pub use record::{Record, RunCount};
pub use server::{Host, WorkerServer};
pub use worker::{HostedTask, Worker};
