//! The interface to the platform: the VM list, the workers and their usage reports.
//!
//! [`Platform`] is the interface and [`HttpPlatform`] its HTTP/JSON binding. The protocol is
//! specified in `docs/contracts/platform.md`.

pub mod contract;
mod http;
mod message;
mod platform;

pub use http::HttpPlatform;
pub use message::{
    Checkpoint, Ending, Lease, LeaseAnswer, Refusal, RefusalCode, Report, Stamp, Start,
    StartAnswer, Stop, StopAnswer, TaskState, TaskStatus, Throttle, Usage, VmList,
};
pub use platform::{Error, Platform, Response};
