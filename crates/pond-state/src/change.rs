//! The changes that the replicated log carries.

use std::collections::BTreeMap;

use pond_proto::{Labels, Millis, Selector, Size, TaskKey, Unit, UnitName, Vm, VmKey};
use serde::{Deserialize, Serialize};

use crate::claims::{Holder, KeptAnswer};
use crate::decision::Decision;
use crate::vm::Liveness;

/// Who asked for a change, when, and under which identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// The operator, or `scheduler` or `platform`.
    pub who: String,
    /// When the leader took it in, milliseconds since 1970.
    pub at: Millis,
    /// The sender's identity for this change; a resend carries the same.
    pub request: String,
    /// The version that the sender based the change on; another one is a conflict.
    pub expect: Option<u64>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An operator's order.
    Order {
        /// Who, when, and based on what.
        meta: Meta,
        /// What.
        order: Order,
    },
    /// The platform's list names these VMs, new or changed.
    Listed {
        /// When.
        at: Millis,
        /// The VMs.
        vms: Vec<Vm>,
    },
    /// A VM's liveness was judged anew.
    Judged {
        /// When.
        at: Millis,
        /// The VM.
        vm: VmKey,
        /// The judgement.
        liveness: Liveness,
        /// Why.
        why: String,
    },
    /// The scheduler gives a VM to a unit.
    Place {
        /// When.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// Which of its replicas.
        replica: u32,
        /// Where.
        vm: VmKey,
        /// Why.
        decision: Decision,
    },
    /// The scheduler found no VM for a unit.
    SetAside {
        /// When.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// Why.
        decision: Decision,
    },
    /// The scheduler says something about a unit.
    Warn {
        /// When.
        at: Millis,
        /// The unit.
        unit: UnitName,
        /// What and why.
        decision: Decision,
    },
    /// The scheduler changes how a task runs.
    Steer {
        /// When.
        at: Millis,
        /// The task.
        task: TaskKey,
        /// What and why.
        decision: Decision,
    },
    /// A worker started a task.
    Started {
        /// When.
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
        /// How far it came.
        checkpoint: u64,
    },
    /// A task ended, surely.
    Ended {
        /// When.
        at: Millis,
        /// The task.
        task: TaskKey,
        /// How.
        end: End,
    },
    /// An entry asks for the right to run a request.
    Claim {
        /// When.
        at: Millis,
        /// Service and idempotency key.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// Checksum of the body.
        digest: u32,
        /// The request.
        holder: Holder,
    },
    /// An entry tells how a claimed request ended.
    Unclaim {
        /// When.
        at: Millis,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// The request.
        holder: Holder,
        /// It did not run: the claim is free again.
        not_run: bool,
        /// The answer, if it is kept.
        answer: Option<KeptAnswer>,
    },
}

/// What an operator may order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Create units or replace them.
    Apply {
        /// The units.
        units: Vec<Unit>,
    },
    /// Set and remove labels.
    Label {
        /// On VMs or on units.
        target: Target,
        /// On which.
        selector: Selector,
        /// Labels to set.
        set: Labels,
        /// Keys to remove.
        unset: Vec<String>,
    },
    /// Take VMs out of use, or back into it.
    Drain {
        /// Which VMs.
        selector: Selector,
        /// Out of use, or back.
        drained: bool,
    },
    /// Place nothing more in a data centre, or use it again.
    Evacuate {
        /// The data centre.
        data_centre: String,
        /// Nothing more, or again.
        evacuated: bool,
    },
    /// Cancel units.
    Cancel {
        /// Which units, by name; or none for those that the selector matches.
        names: Vec<UnitName>,
        /// Which units, by label.
        selector: Option<Selector>,
    },
    /// Limit what a team may have running.
    Quota {
        /// Limits by team; a team without one has none.
        teams: BTreeMap<String, Size>,
    },
}

/// What carries a label.
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
    /// It came to its own end.
    Done,
    /// It failed.
    Failed {
        /// Why, in the worker's words.
        reason: String,
    },
    /// It was stopped; its last checkpoint is known.
    Stopped {
        /// How far it came.
        checkpoint: u64,
    },
    /// Its lease ran out or its worker does not know it.
    Lost,
    /// The worker refused to start it.
    Refused {
        /// Why, in the worker's words.
        reason: String,
    },
}

impl Change {
    /// The bytes for the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Reads the bytes of the log.
    ///
    /// # Errors
    /// What the codec says, if the bytes are no change.
    pub fn decode(bytes: &[u8]) -> Result<Change, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// When the leader took it in; zero where that does not matter.
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
