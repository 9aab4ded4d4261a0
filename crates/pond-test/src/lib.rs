//! Helpers for tests: replicas on disks that forget, schedules of failures, connections that fall
//! silent, small units.

mod cluster;
mod colocation;
mod config;
mod path;
mod sample;
mod swallow;

pub use cluster::{Cluster, Faults};
pub use colocation::{Colocation, Outcome, Scene, Truth};
pub use config::cases;
pub use path::{Behaviour, Path, Told};
pub use sample::{job, meta, service, vm};
pub use swallow::{SwallowProxy, Swallowed};
