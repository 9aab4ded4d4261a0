//! Test support: a simulated cluster of quorum replicas with fault injection, the path of requests
//! and co-located work in virtual time, a proxy that drops bytes, and sample units.

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
