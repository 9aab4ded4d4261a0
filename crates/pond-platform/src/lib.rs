//! What the platform gives: the VM list, the workers, and usage reports.
//!
//! The traits are the border; [`HttpPlatform`] is their HTTP/JSON binding, described for those who
//! write the other side in `docs/contracts/platform.md`.

pub mod contract;
mod http;
mod message;
mod platform;

pub use http::HttpPlatform;
pub use message::{
    Checkpoint, Ending, Lease, LeaseAnswer, Refusal, RefusalCode, Report, Stamp, Start,
    StartAnswer, Stop, StopAnswer, TaskState, TaskStatus, Throttle, Usage, VmList,
};
pub use platform::{Answer, Error, Platform};
