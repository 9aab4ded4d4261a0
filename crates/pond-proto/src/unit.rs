//! Services and jobs: the units that operators create.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Labels, Selector, Size, Span};

/// The name of a unit, unique among units.
pub type UnitName = String;

/// The properties that only services have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Service {
    /// Number of tasks that should run; each is an endpoint.
    pub replicas: u32,
    /// Maximum number of requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that one endpoint accepts.
    pub connections: u32,
    /// Objective for the 99th percentile of the latency, in milliseconds.
    pub p99_ms: Option<u32>,
    /// Maximum number of concurrent requests for the service at one entry.
    pub concurrency: u32,
    /// Maximum number of requests per second for the service at one entry; zero for no limit.
    #[serde(default)]
    pub rate: u32,
}

/// The properties that only jobs have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Declared run time in milliseconds; it is often far from the actual run time.
    pub run_ms: Span,
    /// Deadline for the end of the job, in milliseconds after it was accepted.
    pub deadline_ms: Option<Span>,
    /// Number of times that the job is restarted after a failure.
    pub retries: u32,
}

/// The kind of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A service: runs until it is cancelled and answers requests.
    Service(Service),
    /// A job: runs to completion.
    Job(Job),
}

/// A unit of work as described by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Unit {
    /// Name of the unit.
    pub name: UnitName,
    /// Whether the unit is a service or a job, with the properties of that kind.
    pub kind: Kind,
    /// Labels of the unit. Affinity selectors of other units can refer to them.
    #[serde(default)]
    pub labels: Labels,
    /// Resources that one task of the unit needs.
    pub size: Size,
    /// Priority of the unit. Higher values are placed first; 100 and above is urgent.
    pub priority: i32,
    /// Team whose quota the unit counts against.
    pub team: String,
    /// Selects the VMs that the unit may run on, by VM labels.
    #[serde(default)]
    pub selector: Selector,
    /// Selects units by their labels; the unit is placed only on a VM that already runs a matching
    /// unit.
    #[serde(default)]
    pub affinity: Option<Selector>,
    /// Selects units by their labels; the unit is not placed on a VM that already runs a matching
    /// unit.
    #[serde(default)]
    pub anti_affinity: Option<Selector>,
    /// Program that workers run; it is passed on unchanged.
    pub program: String,
}

impl Unit {
    /// Lowest priority of urgent work.
    pub const URGENT: i32 = 100;

    /// Key of the label that names a unit's workload kind.
    pub const KIND: &'static str = "kind";

    /// Returns the service properties, or `None` for a job.
    pub fn service(&self) -> Option<&Service> {
        match &self.kind {
            Kind::Service(service) => Some(service),
            Kind::Job(_) => None,
        }
    }

    /// Returns the job properties, or `None` for a service.
    pub fn job(&self) -> Option<&Job> {
        match &self.kind {
            Kind::Job(job) => Some(job),
            Kind::Service(_) => None,
        }
    }

    /// Returns the workload kind, by which measurements of similar units are combined: the label
    /// `kind`, otherwise the first word of the program, otherwise the unit's name.
    pub fn workload_kind(&self) -> &str {
        let word = || self.program.split_whitespace().next();
        self.labels.get(Unit::KIND).map(String::as_str).or_else(word).unwrap_or(&self.name)
    }

    /// Returns the number of tasks of the unit that should run.
    pub fn replicas(&self) -> u32 {
        self.service().map_or(1, |service| service.replicas)
    }
}
