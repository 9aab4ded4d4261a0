//! The changes that the replicated log carries.

use std::collections::BTreeMap;

use pond_proto::{Labels, Millis, Selector, Size, TaskKey, Unit, UnitName, Vm, VmKey};
use serde::{Deserialize, Serialize};

use crate::claims::{Holder, KeptAnswer};
use crate::decision::Decision;
use crate::vm::Liveness;

/// The origin of a change: who requested it, when, and under which identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// The operator, or `scheduler` or `platform`.
    pub who: String,
    /// When the leader received it, in milliseconds since 1970.
    pub at: Millis,
    /// The sender's identity for this change; a resend carries the same one.
    pub request: String,
    /// The version that the sender based the change on; any other current version is a conflict.
    pub expect: Option<u64>,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's order.
    Order {
        /// The origin of the order.
        meta: Meta,
        /// The order.
        order: Order,
    },
    /// The platform's list contains these new or changed VMs.
    Listed {
        /// When the leader received it.
        at: Millis,
        /// The VMs.
        vms: Vec<Vm>,
    },
    /// The liveness of a VM changed.
    Judged {
        /// When the leader decided it.
        at: Millis,
        /// The VM.
        vm: VmKey,
        /// The new liveness.
        liveness: Liveness,
        /// The reason.
        why: String,
    },
    /// The scheduler places a replica of a unit on a VM.
    Place {
        /// When the leader decided it.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// The index of the replica.
        replica: u32,
        /// The VM.
        vm: VmKey,
        /// The action and its reason.
        decision: Decision,
    },
    /// The scheduler found no VM for a unit.
    SetAside {
        /// When the leader decided it.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// The action and its reason.
        decision: Decision,
    },
    /// The scheduler warns about a unit.
    Warn {
        /// When the leader decided it.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// The action and its reason.
        decision: Decision,
    },
    /// The scheduler throttles, pauses, moves or stops a task.
    Steer {
        /// When the leader decided it.
        at: Millis,
        /// The task.
        task: TaskKey,
        /// The action and its reason.
        decision: Decision,
    },
    /// A worker has started a task.
    Started {
        /// When the leader learned of it.
        at: Millis,
        /// The task.
        task: TaskKey,
        /// The endpoint's address, for a service.
        endpoint: Option<String>,
    },
    /// A task made a checkpoint.
    Checkpointed {
        /// The task.
        task: TaskKey,
        /// The progress at the checkpoint.
        checkpoint: u64,
    },
    /// A task has certainly ended.
    Ended {
        /// When the leader learned of it.
        at: Millis,
        /// The task.
        task: TaskKey,
        /// How it ended.
        end: End,
    },
    /// An entry claims an idempotency key before it runs a request.
    Claim {
        /// When the leader received it.
        at: Millis,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// The checksum of the request body.
        digest: u32,
        /// The request.
        holder: Holder,
    },
    /// An entry reports how a claimed request ended.
    Unclaim {
        /// When the leader received it.
        at: Millis,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// The request.
        holder: Holder,
        /// Whether the request did not run; the claim is then removed.
        not_run: bool,
        /// The answer to keep, if any.
        answer: Option<KeptAnswer>,
    },
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Creates units or replaces them.
    Apply {
        /// The units.
        units: Vec<Unit>,
    },
    /// Sets and removes labels.
    Label {
        /// Whether the labels are those of VMs or of units.
        target: Target,
        /// Selects the VMs or units.
        selector: Selector,
        /// Labels to set.
        set: Labels,
        /// Keys to remove.
        unset: Vec<String>,
    },
    /// Drains VMs, or puts them back into use.
    Drain {
        /// Selects the VMs.
        selector: Selector,
        /// True to drain them, false to put them back into use.
        drained: bool,
    },
    /// Stops placing work in a data centre, or allows it again.
    Evacuate {
        /// The data centre.
        data_centre: String,
        /// True to stop placing work there, false to allow it again.
        evacuated: bool,
    },
    /// Cancels units.
    Cancel {
        /// The names of the units; ignored if there is a selector.
        names: Vec<UnitName>,
        /// Selects the units by label.
        selector: Option<Selector>,
    },
    /// Limits the resources that teams may use.
    Quota {
        /// The limit of each team; a team that is not named keeps its limit, and has none at first.
        teams: BTreeMap<String, Size>,
    },
}

/// What an order sets labels on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// VMs.
    Vms,
    /// Units.
    Units,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It finished.
    Done,
    /// It failed.
    Failed {
        /// The reason that the worker gave.
        reason: String,
    },
    /// It was stopped; its last checkpoint is known.
    Stopped {
        /// The progress at the last checkpoint.
        checkpoint: u64,
    },
    /// Its lease has expired, or its worker does not know it.
    Lost,
    /// The worker refused to start it.
    Refused {
        /// The reason that the worker gave.
        reason: String,
    },
}

impl Change {
    /// Encodes the change for the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes a change from the log.
    ///
    /// # Errors
    /// The codec's error if the bytes are not a valid change.
    pub fn decode(bytes: &[u8]) -> Result<Change, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Returns the leader's time of the change; zero for changes without a time.
    pub fn at(&self) -> Millis {
        match self {
            Change::Order { meta, .. } => meta.at,
            Change::Listed { at, .. }
            | Change::Judged { at, .. }
            | Change::Place { at, .. }
            | Change::SetAside { at, .. }
            | Change::Warn { at, .. }
            | Change::Steer { at, .. }
            | Change::Started { at, .. }
            | Change::Ended { at, .. }
            | Change::Claim { at, .. }
            | Change::Unclaim { at, .. } => *at,
            Change::Checkpointed { .. } => Millis(0),
        }
    }
}
