//! Requests and responses of the operators' HTTP interface.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::audit::Record;
use crate::{Labels, Millis, Selector, Size, Unit, UnitName};

/// The author of a change and the version that it is based on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Origin {
    /// Name of the operator. If tokens are configured, the owner of the token is recorded instead.
    pub who: String,
    /// Identity of the change, chosen by the sender. A repeated request with the same identity
    /// returns the first result.
    pub request: String,
    /// Version that the change is based on. The change is refused if another one has been accepted
    /// since.
    #[serde(default)]
    pub expect: Option<u64>,
}

/// Creates units, or replaces units with the same names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ApplyOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Units to create or replace.
    pub units: Vec<Unit>,
}

/// Sets and removes labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LabelOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Whether the labels are those of VMs; otherwise they are those of units.
    pub vms: bool,
    /// Selects the VMs or units.
    pub selector: Selector,
    /// Labels to set.
    #[serde(default)]
    pub set: Labels,
    /// Keys of the labels to remove.
    #[serde(default)]
    pub unset: Vec<String>,
}

/// Drains VMs, or returns them to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DrainOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Selects the VMs.
    pub selector: Selector,
    /// Whether to drain the VMs; otherwise they return to use.
    pub drained: bool,
}

/// Evacuates a data centre, so that nothing more is placed in it, or returns it to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EvacuateOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether to evacuate the data centre; otherwise it returns to use.
    pub evacuated: bool,
}

/// An evacuated data centre in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EvacuationRow {
    /// Name of the data centre.
    pub data_centre: String,
    /// Operator who ordered the evacuation.
    pub who: String,
    /// When the evacuation was ordered, in milliseconds since 1970.
    pub since: Millis,
    /// Number of VMs in the data centre.
    pub vms: u32,
    /// Number of tasks on these VMs.
    pub tasks: u32,
}

/// Cancels units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CancelOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Names of the units, if no selector is given.
    #[serde(default)]
    pub names: Vec<UnitName>,
    /// Selects the units by their labels.
    #[serde(default)]
    pub selector: Option<Selector>,
}

/// Limits the resources that the running tasks of each team may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct QuotaOrder {
    /// Author of the change and the version that it is based on.
    pub origin: Origin,
    /// Limit of each team.
    pub teams: BTreeMap<String, Size>,
}

/// Confirms a change: it is accepted and durable on a majority of the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Version of the configuration that includes the change.
    pub version: u64,
    /// Description of the change.
    pub what: String,
}

/// A unit in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UnitRow {
    /// Its name.
    pub name: String,
    /// Kind of the unit: `service` or `job`.
    pub kind: String,
    /// Team of the unit.
    pub team: String,
    /// Priority of the unit.
    pub priority: i32,
    /// Status of the unit in one word.
    #[serde(rename = "standing")]
    pub status: String,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that should run.
    #[serde(rename = "wanted")]
    pub desired: u32,
    /// Version of the configuration that last changed the unit.
    pub version: u64,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskRow {
    /// Key of the task.
    pub task: String,
    /// Unit of the task.
    pub unit: String,
    /// Index of the replica within the unit.
    pub replica: u32,
    /// Number of this run among the runs of the replica.
    pub attempt: u32,
    /// VM that the task runs on.
    pub vm: String,
    /// Phase of the task.
    pub phase: String,
    /// Checkpoint that the task resumed from.
    pub resumed_from: Option<u64>,
}

/// A VM in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct VmRow {
    /// Its name.
    pub name: String,
    /// Labels of the VM.
    pub labels: Labels,
    /// Capacity of the VM.
    pub size: Size,
    /// Resources reserved by the tasks on the VM.
    pub taken: Size,
    /// Liveness of the VM as recorded by control.
    pub liveness: String,
    /// Whether an operator has drained the VM.
    pub drained: bool,
    /// Whether an operator has evacuated the VM's data centre.
    pub evacuated: bool,
    /// Number of tasks on the VM.
    pub tasks: u32,
}

/// A decision of the scheduler with its reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DecisionRow {
    /// When the decision was made, in milliseconds since 1970.
    pub at: Millis,
    /// Action that was decided.
    pub action: String,
    /// VM that the decision concerns.
    pub vm: Option<String>,
    /// Task that the decision concerns.
    pub task: Option<String>,
    /// Reasons for the decision.
    pub why: String,
    /// Second-best alternative.
    pub next_best: Option<String>,
}

/// An eviction after which the task has not resumed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ResumeRow {
    /// Number of the evicted run.
    pub attempt: u32,
    /// Last checkpoint of the evicted run.
    pub checkpoint: u64,
}

/// Details of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "UnitShown")]
pub struct UnitDetails {
    /// The unit as shown in a list.
    pub row: UnitRow,
    /// The unit as the operator described it.
    pub unit: Unit,
    /// Reason for the failure, if the unit has failed.
    pub reason: Option<String>,
    /// Tasks of the unit.
    pub tasks: Vec<TaskRow>,
    /// Eviction after which the task has not resumed yet, if there is one.
    pub resume: Option<ResumeRow>,
    /// Most recent decisions about the unit, oldest first.
    pub decisions: Vec<DecisionRow>,
}

/// A process that receives the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Follower {
    /// Role of the process.
    pub role: String,
    /// Its name.
    pub name: String,
    /// Version of the configuration in force at the process; zero before the first.
    pub version: u64,
}

/// A member of the quorum: one control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MemberRow {
    /// Its name.
    pub name: String,
    /// Whether the replica is a voter.
    pub voter: bool,
    /// Whether the replica is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
}

/// A summary of the state of the installation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the replica that answered.
    pub replica: String,
    /// Current term.
    pub term: u64,
    /// Commit index of the replicated log.
    pub commit: u64,
    /// Members of the quorum.
    pub members: Vec<MemberRow>,
    /// Version of the configuration.
    pub version: u64,
    /// Number of processes in which this version is in force.
    pub in_force: u32,
    /// Number of linked processes that receive the configuration.
    #[serde(rename = "told")]
    pub followers: u32,
    /// Processes in which this version is not yet in force.
    pub stragglers: Vec<Follower>,
    /// Number of VMs that accept tasks.
    pub vms_open: u32,
    /// Total number of VMs.
    pub vms: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of units that have fewer tasks than they should.
    #[serde(rename = "wanting")]
    pub incomplete_units: u32,
    /// Number of stored claims.
    pub claims: u64,
    /// Checksum of the replicated state.
    pub checksum: String,
}

/// The most recent records of the audit trail, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Audit {
    /// Records of the trail.
    pub records: Vec<Record>,
}
