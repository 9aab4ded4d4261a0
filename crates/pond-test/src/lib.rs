//! Helpers for tests: replicas on disks that forget, schedules of failures, connections that fall
//! silent, small units.

mod blackhole;
mod cluster;
mod colocation;
mod config;
mod request_path;
mod sample;

pub use blackhole::{Blackhole, BlackholeProxy};
pub use cluster::{Cluster, Faults};
pub use colocation::{Colocation, JobProfile, Outcome, Scenario};
pub use config::cases;
pub use request_path::{Behaviour, Reply, RequestPath};
pub use sample::{job, meta, service, vm};
