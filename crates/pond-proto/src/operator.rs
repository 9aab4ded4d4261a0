//! What operators send and are told over HTTP.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::audit::Record;
use crate::{Labels, Millis, Selector, Size, Unit, UnitName};

/// Who changes something, and based on what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Origin {
    /// The operator; with tokens in use, the token's owner counts instead.
    pub who: String,
    /// An identity of the change, chosen by the sender. A resend with the same identity gets the
    /// first result again.
    pub request: String,
    /// The version that the sender looked at; if an order was accepted since, this one is refused.
    #[serde(default)]
    pub expect: Option<u64>,
}

/// Create units, or replace those of the same names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ApplyOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// The units.
    pub units: Vec<Unit>,
}

/// Set and remove labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LabelOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// On VMs; otherwise on units.
    pub vms: bool,
    /// On which.
    pub selector: Selector,
    /// Labels to set.
    #[serde(default)]
    pub set: Labels,
    /// Keys to remove.
    #[serde(default)]
    pub unset: Vec<String>,
}

/// Take VMs out of use, or back into it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DrainOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// Which VMs.
    pub selector: Selector,
    /// Out of use, or back.
    pub drained: bool,
}

/// Place nothing more in a data centre, or use it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EvacuateOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// Which data centre.
    pub data_centre: String,
    /// Nothing more, or again.
    pub evacuated: bool,
}

/// An evacuated data centre in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EvacuationRow {
    /// The data centre.
    pub data_centre: String,
    /// Who ordered it.
    pub who: String,
    /// Since when, milliseconds since 1970.
    pub since: Millis,
    /// How many VMs stand there.
    pub vms: u32,
    /// How many tasks are on them.
    pub tasks: u32,
}

/// Cancel units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CancelOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// Their names, where no selector is given.
    #[serde(default)]
    pub names: Vec<UnitName>,
    /// Which, by unit labels.
    #[serde(default)]
    pub selector: Option<Selector>,
}

/// Limit what teams may have running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct QuotaOrder {
    /// Who, and based on what.
    pub origin: Origin,
    /// The limits.
    pub teams: BTreeMap<String, Size>,
}

/// An order was accepted: it is durable on a majority of the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// The version of the configuration with it.
    pub version: u64,
    /// What changed.
    pub what: String,
}

/// A unit in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UnitRow {
    /// Its name.
    pub name: String,
    /// `service` or `job`.
    pub kind: String,
    /// Its team.
    pub team: String,
    /// Its priority.
    pub priority: i32,
    /// Where it stands, in a word.
    #[serde(rename = "standing")]
    pub status: String,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that shall run.
    #[serde(rename = "wanted")]
    pub desired: u32,
    /// The version that last changed it.
    pub version: u64,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskRow {
    /// Its key.
    pub task: String,
    /// Its unit.
    pub unit: String,
    /// Which replica of the unit.
    pub replica: u32,
    /// Counts the runs of the replica.
    pub attempt: u32,
    /// The VM.
    pub vm: String,
    /// Where it stands.
    pub phase: String,
    /// The checkpoint that it resumed from.
    pub resumed_from: Option<u64>,
}

/// A VM in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct VmRow {
    /// Its name.
    pub name: String,
    /// Its labels.
    pub labels: Labels,
    /// What it has.
    pub size: Size,
    /// What its tasks take.
    pub taken: Size,
    /// What is believed of it.
    pub liveness: String,
    /// An operator took it out of use.
    pub drained: bool,
    /// An operator evacuated its data centre.
    pub evacuated: bool,
    /// How many tasks are on it.
    pub tasks: u32,
}

/// A decision with its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DecisionRow {
    /// When, milliseconds since 1970.
    pub at: Millis,
    /// What.
    pub action: String,
    /// The VM concerned.
    pub vm: Option<String>,
    /// The task concerned.
    pub task: Option<String>,
    /// What was known and weighed.
    pub why: String,
    /// The alternative that came next.
    pub next_best: Option<String>,
}

/// An eviction that a resume has not yet consumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ResumeRow {
    /// The run that was evicted.
    pub attempt: u32,
    /// How far it came.
    pub checkpoint: u64,
}

/// All that is known of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "UnitShown")]
pub struct UnitDetails {
    /// The row of the list.
    pub row: UnitRow,
    /// As the operator described it.
    pub unit: Unit,
    /// Why it failed, if it did.
    pub reason: Option<String>,
    /// Its tasks.
    pub tasks: Vec<TaskRow>,
    /// The open eviction, if there is one.
    pub resume: Option<ResumeRow>,
    /// The last decisions, oldest first.
    pub decisions: Vec<DecisionRow>,
}

/// One process that is told the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Follower {
    /// Its role.
    pub role: String,
    /// Its name.
    pub name: String,
    /// The version in force there; zero before its first.
    pub version: u64,
}

/// One replica of the quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MemberRow {
    /// Its name.
    pub name: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
}

/// The state of the installation in a few figures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// The replica that answered.
    pub replica: String,
    /// The term.
    pub term: u64,
    /// Accepted entries of the log.
    pub commit: u64,
    /// The replicas.
    pub members: Vec<MemberRow>,
    /// The version of the configuration.
    pub version: u64,
    /// Processes in which that version is in force.
    pub in_force: u32,
    /// Processes that are linked and are told the configuration.
    #[serde(rename = "told")]
    pub followers: u32,
    /// Those in which it is not yet in force.
    pub stragglers: Vec<Follower>,
    /// VMs that take work.
    pub vms_open: u32,
    /// All VMs.
    pub vms: u32,
    /// Tasks.
    pub tasks: u32,
    /// Units that lack tasks.
    #[serde(rename = "wanting")]
    pub incomplete_units: u32,
    /// Claims kept.
    pub claims: u64,
    /// Checksum of the replicated state.
    pub checksum: String,
}

/// The newest records of the audit trail, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Audit {
    /// The records.
    pub records: Vec<Record>,
}
