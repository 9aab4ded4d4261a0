//! Types shared by all pondbay processes, and the messages between them.
//!
//! This is the lowest crate: it depends on no other pondbay crate, does no I/O and reads no clock.

mod key;
mod label;
mod outcome;
mod selector;
mod size;
mod time;
mod unit;
mod vm;

pub mod audit;
pub mod fleet;
pub mod job;
pub mod operator;
pub mod quorum;
pub mod view;
pub mod wire;

pub use key::{Incarnation, TaskKey, VmKey};
pub use label::Labels;
pub use outcome::Outcome;
pub use selector::{Operator, Selector, Term};
pub use size::Size;
pub use time::{Micros, Millis, Span};
pub use unit::{Job, Kind, Service, Unit, UnitName};
pub use vm::{Presence, Vm};
