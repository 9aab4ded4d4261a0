//! The replicated state and the dispatch of changes.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::{Millis, Size, TaskKey, UnitName, Vm, VmKey, view};
use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::claims::Claims;
use crate::evacuation::Evacuation;
use crate::reply::Reply;
use crate::task::Task;
use crate::trail::Trail;
use crate::unit::UnitRecord;
use crate::views::Views;
use crate::vm::{Liveness, VmRecord};

/// The replicated state.
///
/// Keys are assigned in increasing order and never reused, and all tables are sorted by key. A
/// replica that was restored from a snapshot therefore behaves exactly like the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub(crate) clock: Millis,
    pub(crate) next_vm: u32,
    pub(crate) next_task: u64,
    pub(crate) vms: BTreeMap<VmKey, VmRecord>,
    pub(crate) vm_names: BTreeMap<String, VmKey>,
    pub(crate) units: BTreeMap<UnitName, UnitRecord>,
    #[serde(rename = "wanting")]
    pub(crate) incomplete_units: BTreeSet<UnitName>,
    pub(crate) tasks: BTreeMap<TaskKey, Task>,
    pub(crate) by_vm: BTreeMap<VmKey, BTreeSet<TaskKey>>,
    pub(crate) quotas: BTreeMap<String, Size>,
    pub(crate) used: BTreeMap<String, Size>,
    pub(crate) room: u64,
    pub(crate) claims: Claims,
    pub(crate) trail: Trail,
    pub(crate) views: Views,
    /// By the name of the data centre. Snapshots of earlier versions lack this field.
    #[serde(default)]
    pub(crate) evacuations: BTreeMap<String, Evacuation>,
}

impl State {
    /// Creates an empty state.
    pub fn new() -> State {
        State::default()
    }

    /// Applies one change; the only way to change the state.
    pub fn apply(&mut self, change: Change) -> Reply {
        self.clock = self.clock.max(change.at());
        match change {
            Change::Order { meta, order } => self.order(meta, order),
            Change::Listed { vms, .. } => self.listed(vms),
            Change::Judged { vm, liveness, why, .. } => self.judged(vm, liveness, &why),
            Change::Place { unit, replica, vm, decision, .. } => {
                self.place(&unit, replica, vm, decision)
            }
            Change::SetAside { unit, decision, .. } => self.set_aside(&unit, decision),
            Change::Warn { unit, decision, .. } => {
                if let Some(record) = self.units.get_mut(&unit) {
                    record.note(decision);
                }
                Reply::Noted
            }
            Change::Steer { task, decision, .. } => self.steer(task, decision),
            Change::Started { task, endpoint, .. } => self.started(task, endpoint),
            Change::Checkpointed { task, checkpoint } => self.checkpointed(task, checkpoint),
            Change::Ended { task, end, .. } => self.ended(task, end),
            Change::Claim { at, service, key, digest, holder } => {
                Reply::Claim(self.claims.claim(at, (service, key), digest, holder))
            }
            Change::Unclaim { service, key, holder, not_run, answer, .. } => {
                self.claims.end(&(service, key), holder, not_run, answer);
                Reply::Noted
            }
        }
    }

    /// Encodes the state as a snapshot; equal states produce equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// The codec's error if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<State, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Returns a checksum of the state, which is equal on all replicas that applied the same
    /// changes.
    pub fn checksum(&self) -> u32 {
        crc32c::crc32c(&self.encode())
    }

    /// Returns the leader's time at the last change, in milliseconds since 1970.
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// Returns the version of the configuration, which only grows.
    pub fn version(&self) -> u64 {
        self.views.version()
    }

    /// Returns all VMs, by key.
    pub fn vms(&self) -> impl Iterator<Item = &VmRecord> {
        self.vms.values()
    }

    /// Returns one VM.
    pub fn vm(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(&key)
    }

    /// Returns the VM with this name.
    pub fn vm_named(&self, name: &str) -> Option<&VmRecord> {
        self.vm_names.get(name).and_then(|key| self.vms.get(key))
    }

    /// Returns all units, by name.
    pub fn units(&self) -> impl Iterator<Item = &UnitRecord> {
        self.units.values()
    }

    /// Returns one unit.
    pub fn unit(&self, name: &str) -> Option<&UnitRecord> {
        self.units.get(name)
    }

    /// Returns the units that have fewer tasks than they need.
    pub fn incomplete_units(&self) -> impl Iterator<Item = &UnitRecord> {
        self.incomplete_units.iter().filter_map(|name| self.units.get(name))
    }

    /// Returns the number of tasks.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Returns all tasks, by key.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Returns one task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(&key)
    }

    /// Returns the tasks on a VM, including those that are being stopped.
    pub fn tasks_on(&self, vm: VmKey) -> impl Iterator<Item = &Task> {
        let keys = self.by_vm.get(&vm).into_iter().flatten();
        keys.filter_map(|key| self.tasks.get(key))
    }

    /// Returns a counter that grows whenever room may have become available. A unit that was set
    /// aside is tried again when the counter has grown.
    pub fn room_version(&self) -> u64 {
        self.room
    }

    /// Returns the limit of a team, if it has one.
    pub fn quota(&self, team: &str) -> Option<Size> {
        self.quotas.get(team).copied()
    }

    /// Returns the resources that a team's tasks use.
    pub fn used(&self, team: &str) -> Size {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Returns all claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the audit trail.
    pub fn trail(&self) -> &Trail {
        &self.trail
    }

    fn listed(&mut self, vms: Vec<Vm>) -> Reply {
        for vm in vms {
            self.upsert_vm(vm);
        }
        Reply::Noted
    }

    fn upsert_vm(&mut self, vm: Vm) {
        let key = match self.vm_names.get(&vm.name) {
            Some(key) => *key,
            None => {
                let key = VmKey(self.next_vm);
                self.next_vm += 1;
                self.vm_names.insert(vm.name.clone(), key);
                key
            }
        };
        match self.vms.get_mut(&key) {
            Some(record) => record.vm = vm,
            None => {
                self.vms.insert(key, VmRecord::new(key, vm));
            }
        }
        if let Some(record) = self.vms.get_mut(&key) {
            record.evacuated = self.evacuations.contains_key(record.vm.data_centre());
        }
        self.room += 1;
        self.touch_vm(key);
    }

    fn judged(&mut self, key: VmKey, liveness: Liveness, why: &str) -> Reply {
        let Some(record) = self.vms.get_mut(&key) else { return Reply::Noted };
        if record.liveness == liveness {
            return Reply::Noted;
        }
        record.liveness = liveness;
        let name = record.vm.name.clone();
        let what = format!("VM {name} is {liveness:?}: {why}");
        if liveness == Liveness::Live {
            self.room += 1;
        }
        self.record("platform", String::new(), what);
        self.touch_vm(key);
        let has_no_tasks = self.by_vm.get(&key).is_none_or(BTreeSet::is_empty);
        if liveness == Liveness::Gone && has_no_tasks {
            self.vms.remove(&key);
            self.vm_names.remove(&name);
            self.by_vm.remove(&key);
        }
        Reply::Noted
    }

    /// Starts a new version that covers all endpoints on a VM.
    pub(crate) fn touch_vm(&mut self, key: VmKey) {
        let tasks: Vec<TaskKey> =
            self.by_vm.get(&key).map(|tasks| tasks.iter().copied().collect()).unwrap_or_default();
        if !tasks.is_empty() {
            self.views.touch(tasks, Vec::new());
        }
    }

    /// Adds a record to the audit trail.
    pub(crate) fn record(&mut self, who: &str, request: String, what: String) {
        let (version, at) = (self.views.version(), self.clock);
        let who = who.to_owned();
        self.trail.add(pond_proto::audit::Record { version, at, who, request, what });
    }

    /// Returns the changes that a process at version `from` needs, or the complete configuration if
    /// that version is too old.
    pub fn delta(&self, from: u64, term: u64) -> view::Delta {
        let to = self.version();
        let difference = if from == 0 { None } else { self.views.since(from) };
        let mut delta = view::Delta { term, from, to, ..view::Delta::default() };
        let Some(difference) = difference else {
            delta.from = 0;
            delta.endpoints = self.tasks().filter_map(|task| self.endpoint(task)).collect();
            delta.services = self.units().filter_map(service).collect();
            return delta;
        };
        for key in difference.tasks {
            match self.task(key).and_then(|task| self.endpoint(task)) {
                Some(endpoint) => delta.endpoints.push(endpoint),
                None => delta.removed.push(key.0),
            }
        }
        for name in difference.units {
            match self.unit(&name).and_then(service) {
                Some(service) => delta.services.push(service),
                None => delta.removed_services.push(name),
            }
        }
        delta
    }

    fn endpoint(&self, task: &Task) -> Option<view::Endpoint> {
        let unit = &self.unit(&task.unit)?.unit;
        let service = unit.service()?;
        let record = self.vm(task.vm)?;
        Some(view::Endpoint {
            task: task.key.0,
            service: task.unit.clone(),
            process: record.vm.endpoint_process.clone()?,
            address: task.endpoint.clone()?,
            data_centre: record.vm.data_centre().to_owned(),
            leaving: task.phase.ending() || record.leaving(),
            slots: service.slots,
            connections: service.connections,
        })
    }
}

fn service(record: &UnitRecord) -> Option<view::Service> {
    let service = record.unit.service().filter(|_| !record.ended())?;
    Some(view::Service {
        name: record.unit.name.clone(),
        concurrency: service.concurrency,
        team: record.unit.team.clone(),
        priority: record.unit.priority,
        rate: service.rate,
    })
}
