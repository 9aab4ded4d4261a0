//! The units on each VM and the estimated effect of placing one more unit there.

use std::collections::HashMap;

use pond_proto::{Unit, VmKey};
use pond_state::State;

use crate::interference::{Colocated, Interference};
use crate::kind::{Kind, Kinds};
use crate::usage::Usage;

/// A service with a latency objective.
#[derive(Clone, Debug)]
struct Protected {
    name: String,
    kind: Kind,
    objective_us: f64,
}

/// The services with an objective, the batch work and the expected memory use of one VM.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    services: Vec<Protected>,
    colocated: Vec<Colocated>,
    expected_memory_mib: u64,
}

impl Neighbours {
    /// Collects the units that are on a VM in `state`.
    pub fn new(state: &State, kinds: &Kinds, usage: &Usage, vm: VmKey) -> Neighbours {
        let mut neighbours = Neighbours::default();
        for record in state.tasks_on(vm).filter_map(|task| state.unit(&task.unit)) {
            neighbours.add(kinds, usage, &record.unit);
        }
        neighbours
    }

    /// Adds one more task of a unit.
    pub fn add(&mut self, kinds: &Kinds, usage: &Usage, unit: &Unit) {
        let kind = kinds.get(unit.workload_kind());
        self.expected_memory_mib += u64::from(usage.expected(kind, unit.size).memory_mib);
        let Some(kind) = kind else { return };
        match unit.service() {
            None => self.colocated.push(Colocated { kind, share: 1.0 }),
            Some(service) => {
                let Some(p99_ms) = service.p99_ms else { return };
                let objective_us = f64::from(p99_ms) * 1000.0;
                self.services.push(Protected { name: unit.name.clone(), kind, objective_us });
            }
        }
    }

    /// Returns the memory that the tasks are expected to use, in MiB.
    pub fn expected_memory_mib(&self) -> u64 {
        self.expected_memory_mib
    }

    /// Returns the effect of one more task of `unit` on the services here, including the unit
    /// itself if it is a service.
    pub fn with(&self, interference: &Interference, kinds: &Kinds, unit: &Unit) -> Effect {
        let mut effect = Effect::default();
        let new = kinds.get(unit.workload_kind()).filter(|_| unit.service().is_none());
        let new = new.map(|kind| Colocated { kind, share: 1.0 });
        for service in &self.services {
            effect.include(interference, service, &self.colocated, new);
        }
        if let (Some(service), Some(kind)) = (unit.service(), kinds.get(unit.workload_kind()))
            && let Some(p99_ms) = service.p99_ms
        {
            let objective_us = f64::from(p99_ms) * 1000.0;
            let own = Protected { name: unit.name.clone(), kind, objective_us };
            effect.include(interference, &own, &[], None);
            effect.added += interference.slowdown(interference.victim(kind), &self.colocated) - 1.0;
        }
        effect
    }
}

/// The effect of one more task on the services of a VM.
#[derive(Clone, Debug, Default)]
pub struct Effect {
    /// The sum of what it adds to their slowdowns.
    pub added: f64,
    /// The service closest to its objective, and its expected latency as a share of the objective.
    pub worst: Option<(String, f64)>,
}

impl Effect {
    fn include(
        &mut self,
        interference: &Interference,
        service: &Protected,
        colocated: &[Colocated],
        new: Option<Colocated>,
    ) {
        let victim = interference.victim(service.kind);
        let added = new.map_or(0.0, |new| interference.estimate(victim, new.kind).mean * new.share);
        self.added += added;
        let Some(baseline) = interference.baseline(victim) else { return };
        let latency_ratio =
            baseline * (interference.slowdown(victim, colocated) + added) / service.objective_us;
        if latency_ratio > self.latency_ratio() {
            self.worst = Some((service.name.clone(), latency_ratio));
        }
    }

    /// Returns the highest expected latency as a share of the service's objective; 1 means that
    /// the objective is just met. Returns 0 if no service has an objective and a known latency.
    pub fn latency_ratio(&self) -> f64 {
        self.worst.as_ref().map_or(0.0, |(_, latency_ratio)| *latency_ratio)
    }
}

/// The neighbours on the VMs that a plan has examined.
#[derive(Debug, Default)]
pub struct Cache {
    vms: HashMap<VmKey, Neighbours>,
}

impl Cache {
    /// Returns the units on a VM, including those that the plan has placed there.
    pub fn at(&mut self, state: &State, kinds: &Kinds, usage: &Usage, vm: VmKey) -> &Neighbours {
        self.vms.entry(vm).or_insert_with(|| Neighbours::new(state, kinds, usage, vm))
    }

    /// Records that the plan placed one more task on a VM.
    pub fn add(&mut self, kinds: &Kinds, usage: &Usage, vm: VmKey, unit: &Unit) {
        if let Some(neighbours) = self.vms.get_mut(&vm) {
            neighbours.add(kinds, usage, unit);
        }
    }
}
