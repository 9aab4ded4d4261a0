//! Services and jobs: the units that operators create.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Labels, Selector, Size, Span};

/// The name of a unit, unique among units.
pub type UnitName = String;

/// What is particular to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Service {
    /// How many tasks, each an endpoint, shall run.
    pub replicas: u32,
    /// Requests that one endpoint runs at a time.
    pub slots: u32,
    /// Connections that one endpoint accepts.
    pub connections: u32,
    /// The objective for the 99th percentile of its latency, in milliseconds.
    pub p99_ms: Option<u32>,
    /// Requests that may be under way for the service at one entry.
    pub concurrency: u32,
    /// Requests a second that one entry takes for the service; zero for no limit.
    #[serde(default)]
    pub rate: u32,
}

/// What is particular to a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Declared run time in milliseconds; often far from the truth.
    pub run_ms: Span,
    /// When it must have ended, in milliseconds after it was accepted.
    pub deadline_ms: Option<Span>,
    /// How often it is started again after it failed.
    pub retries: u32,
}

/// Service or job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs until it is cancelled and answers requests.
    Service(Service),
    /// Runs to its end.
    Job(Job),
}

/// One unit of work as an operator described it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Unit {
    /// Its name.
    pub name: UnitName,
    /// Service or job.
    pub kind: Kind,
    /// Its labels; selectors of other units may ask for them.
    #[serde(default)]
    pub labels: Labels,
    /// What one task of it takes.
    pub size: Size,
    /// Higher goes first; 100 and above is urgent.
    pub priority: i32,
    /// The team whose quota it counts against.
    pub team: String,
    /// Where it may run, over VM labels.
    #[serde(default)]
    pub selector: Selector,
    /// Where it wants to be, over the labels of units already on the VM; one must match.
    #[serde(default)]
    pub affinity: Option<Selector>,
    /// What it must not meet, over the labels of units already on the VM.
    #[serde(default)]
    pub anti_affinity: Option<Selector>,
    /// The program that workers run, passed on as it is.
    pub program: String,
}

impl Unit {
    /// The priority from which work is urgent.
    pub const URGENT: i32 = 100;

    /// The label that says what a unit is like.
    pub const KIND: &'static str = "kind";

    /// The service part, if it is one.
    pub fn service(&self) -> Option<&Service> {
        match &self.kind {
            Kind::Service(service) => Some(service),
            Kind::Job(_) => None,
        }
    }

    /// The job part, if it is one.
    pub fn job(&self) -> Option<&Job> {
        match &self.kind {
            Kind::Job(job) => Some(job),
            Kind::Service(_) => None,
        }
    }

    /// What it is like, for learning: its label `kind`, else the first word of its program.
    pub fn kind_name(&self) -> &str {
        let word = || self.program.split_whitespace().next();
        self.labels.get(Unit::KIND).map(String::as_str).or_else(word).unwrap_or(&self.name)
    }

    /// How many tasks of it shall run.
    pub fn replicas(&self) -> u32 {
        self.service().map_or(1, |service| service.replicas)
    }
}
