//! What is on each VM as placements see it, and what one more unit would do to it.

use std::collections::HashMap;

use pond_proto::{Unit, VmKey};
use pond_state::State;

use crate::harm::{Beside, Interference};
use crate::kind::{Kind, Kinds};
use crate::usage::Usage;

/// A service with an objective.
#[derive(Clone, Debug)]
struct Guarded {
    name: String,
    kind: Kind,
    objective_us: f64,
}

/// What is on one VM.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    services: Vec<Guarded>,
    beside: Vec<Beside>,
    expected_memory_mib: u64,
}

impl Neighbours {
    /// What is on a VM now.
    pub fn new(state: &State, kinds: &Kinds, usage: &Usage, vm: VmKey) -> Neighbours {
        let mut neighbours = Neighbours::default();
        for record in state.tasks_on(vm).filter_map(|task| state.unit(&task.unit)) {
            neighbours.add(kinds, usage, &record.unit);
        }
        neighbours
    }

    /// One more task of a unit.
    pub fn add(&mut self, kinds: &Kinds, usage: &Usage, unit: &Unit) {
        let kind = kinds.get(unit.kind_name());
        self.expected_memory_mib += u64::from(usage.expected(kind, unit.size).memory_mib);
        let Some(kind) = kind else { return };
        match unit.service() {
            None => self.beside.push(Beside { kind, share: 1.0 }),
            Some(service) => {
                let Some(p99_ms) = service.p99_ms else { return };
                let objective_us = f64::from(p99_ms) * 1000.0;
                self.services.push(Guarded { name: unit.name.clone(), kind, objective_us });
            }
        }
    }

    /// Memory that is expected to be used, in MiB.
    pub fn expected_memory_mib(&self) -> u64 {
        self.expected_memory_mib
    }

    /// What one more task of a unit would do to the services here, its own among them.
    pub fn with(&self, harm: &Interference, kinds: &Kinds, unit: &Unit) -> Effect {
        let mut effect = Effect::default();
        let new = kinds.get(unit.kind_name()).filter(|_| unit.service().is_none());
        let new = new.map(|kind| Beside { kind, share: 1.0 });
        for service in &self.services {
            effect.look_at(harm, service, &self.beside, new);
        }
        if let (Some(service), Some(kind)) = (unit.service(), kinds.get(unit.kind_name()))
            && let Some(p99_ms) = service.p99_ms
        {
            let objective_us = f64::from(p99_ms) * 1000.0;
            let own = Guarded { name: unit.name.clone(), kind, objective_us };
            effect.look_at(harm, &own, &[], None);
            effect.added += harm.slowdown(harm.victim(kind), &self.beside) - 1.0;
        }
        effect
    }
}

/// What one more task would do to the services on a VM.
#[derive(Clone, Debug, Default)]
pub struct Effect {
    /// What it adds to their slowdowns together.
    pub added: f64,
    /// The service that comes closest to its objective, and how close.
    pub worst: Option<(String, f64)>,
}

impl Effect {
    fn look_at(
        &mut self,
        harm: &Interference,
        service: &Guarded,
        beside: &[Beside],
        new: Option<Beside>,
    ) {
        let victim = harm.victim(service.kind);
        let added = new.map_or(0.0, |new| harm.estimate(victim, new.kind).mean * new.share);
        self.added += added;
        let Some(baseline) = harm.baseline(victim) else { return };
        let strain = baseline * (harm.slowdown(victim, beside) + added) / service.objective_us;
        if strain > self.strain() {
            self.worst = Some((service.name.clone(), strain));
        }
    }

    /// How close the worst service comes to its objective; 1 is at it.
    pub fn strain(&self) -> f64 {
        self.worst.as_ref().map_or(0.0, |(_, strain)| *strain)
    }
}

/// What is on the VMs that a plan has looked at.
#[derive(Debug, Default)]
pub struct Cache {
    vms: HashMap<VmKey, Neighbours>,
}

impl Cache {
    /// What is on a VM, with what the plan has given it.
    pub fn at(&mut self, state: &State, kinds: &Kinds, usage: &Usage, vm: VmKey) -> &Neighbours {
        self.vms.entry(vm).or_insert_with(|| Neighbours::new(state, kinds, usage, vm))
    }

    /// The plan gave a VM one more task.
    pub fn add(&mut self, kinds: &Kinds, usage: &Usage, vm: VmKey, unit: &Unit) {
        if let Some(neighbours) = self.vms.get_mut(&vm) {
            neighbours.add(kinds, usage, unit);
        }
    }
}
