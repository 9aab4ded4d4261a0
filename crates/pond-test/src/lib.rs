//! Helpers for tests: replicas on disks that forget, schedules of failures, connections that fall
//! silent, small units.

mod cluster;
mod colocation;
mod config;
mod path;
mod sample;
mod swallow;

pub use cluster::{Cluster, Faults};
pub use colocation::{Colocation, JobProfile, Outcome, Scenario};
pub use config::cases;
pub use path::{Behaviour, Reply, RequestPath};
pub use sample::{job, meta, service, vm};
pub use swallow::{Blackhole, BlackholeProxy};
