//! Execution of operators' orders.

use std::collections::BTreeMap;

use pond_proto::{Labels, Selector, Size, TaskKey, Unit, UnitName};

use crate::change::{Meta, Order, Target};
use crate::decision::{Action, Decision};
use crate::reply::{Refusal, Reply};
use crate::state::State;
use crate::task::Phase;
use crate::unit::{Standing, UnitRecord};

/// Maximum number of audit records that a conflict lists.
const MAX_CONFLICT_RECORDS: usize = 10;

/// The effect of an order: its description, and the tasks and units that it touched.
pub(crate) struct Effect {
    what: String,
    tasks: Vec<TaskKey>,
    units: Vec<UnitName>,
}

impl Effect {
    /// Creates an effect that touches no task and no unit directly.
    pub fn new(what: String) -> Effect {
        Effect { what, tasks: Vec::new(), units: Vec::new() }
    }
}

impl State {
    pub(crate) fn order(&mut self, meta: Meta, order: Order) -> Reply {
        if let Some(reply) = self.trail.known(&meta, &order) {
            return reply;
        }
        let reply = match self.check_version(&meta) {
            Some(refusal) => Reply::Refused(refusal),
            None => match self.execute(&meta, &order) {
                Ok(effect) => self.accept_order(&meta, effect),
                Err(refusal) => Reply::Refused(refusal),
            },
        };
        self.trail.remember(&meta, &order, &reply);
        reply
    }

    fn check_version(&self, meta: &Meta) -> Option<Refusal> {
        let expected = meta.expect?;
        // Only orders count, as endpoints also change without an operator.
        let mut since = self.trail.after(expected).filter(|record| !record.request.is_empty());
        let first = since.next()?;
        let lines = std::iter::once(first).chain(since).take(MAX_CONFLICT_RECORDS);
        let since = lines.map(|r| format!("version {} by {}: {}", r.version, r.who, r.what));
        Some(Refusal::Conflict { have: self.version(), expected, since: since.collect() })
    }

    fn accept_order(&mut self, meta: &Meta, effect: Effect) -> Reply {
        let Effect { what, tasks, units } = effect;
        let version = self.views.touch(tasks, units);
        let request = if meta.request.is_empty() { "-".to_owned() } else { meta.request.clone() };
        self.record(&meta.who, request, what.clone());
        Reply::Accepted { version, what }
    }

    fn execute(&mut self, meta: &Meta, order: &Order) -> Result<Effect, Refusal> {
        match order {
            Order::Apply { units } => Ok(self.apply_units(units)),
            Order::Label { target: Target::Vms, selector, set, unset } => {
                self.label_vms(selector, set, unset)
            }
            Order::Label { target: Target::Units, selector, set, unset } => {
                self.label_units(selector, set, unset)
            }
            Order::Drain { selector, drained } => self.drain(selector, *drained),
            Order::Evacuate { data_centre, evacuated } => {
                self.evacuate(meta, data_centre, *evacuated)
            }
            Order::Cancel { names, selector } => self.cancel(names, selector.as_ref()),
            Order::Quota { teams } => Ok(self.set_quotas(teams)),
        }
    }

    fn apply_units(&mut self, units: &[Unit]) -> Effect {
        let version = self.version() + 1;
        let mut names = Vec::new();
        for unit in units {
            let name = unit.name.clone();
            match self.units.get_mut(&name) {
                Some(record) if !record.ended() => {
                    record.unit = unit.clone();
                    record.version = version;
                    record.standing = Standing::Wanted;
                }
                Some(record) if !record.tasks.is_empty() => {
                    // Its last tasks are still being stopped; it starts again once they have ended.
                    record.unit = unit.clone();
                    record.version = version;
                    record.standing = Standing::Wanted;
                    record.resume = None;
                    record.failures = 0;
                }
                _ => {
                    let record = UnitRecord::new(unit.clone(), version, self.clock);
                    self.units.insert(name.clone(), record);
                }
            }
            self.refresh_wanting(&name);
            names.push(name);
        }
        let what = format!("applied {}", names.join(", "));
        let tasks = self.tasks_of(&names);
        Effect { what, tasks, units: names }
    }

    fn tasks_of(&self, names: &[UnitName]) -> Vec<TaskKey> {
        let records = names.iter().filter_map(|name| self.units.get(name));
        records.flat_map(|record| record.tasks.values().copied()).collect()
    }

    fn label_vms(
        &mut self,
        selector: &Selector,
        set: &Labels,
        unset: &[String],
    ) -> Result<Effect, Refusal> {
        let mut names = Vec::new();
        for record in self.vms.values_mut().filter(|vm| selector.matches(&vm.labels())) {
            record.set.retain(|key, _| !unset.contains(key));
            record.unset.extend(unset.iter().cloned());
            record.unset.retain(|key| !set.contains_key(key));
            record.unset.sort();
            record.unset.dedup();
            record.set.extend(set.clone());
            names.push(record.vm.name.clone());
        }
        if names.is_empty() {
            return Err(Refusal::NoMatch { what: format!("VMs with {selector}") });
        }
        self.room += 1;
        let what = format!("labelled VMs {}: {}", names.join(", "), describe_labels(set, unset));
        Ok(Effect::new(what))
    }

    fn label_units(
        &mut self,
        selector: &Selector,
        set: &Labels,
        unset: &[String],
    ) -> Result<Effect, Refusal> {
        let version = self.version() + 1;
        let mut names = Vec::new();
        for record in self.units.values_mut() {
            if !selector.matches(&record.unit.labels) {
                continue;
            }
            record.unit.labels.retain(|key, _| !unset.contains(key));
            record.unit.labels.extend(set.clone());
            record.version = version;
            names.push(record.unit.name.clone());
        }
        if names.is_empty() {
            return Err(Refusal::NoMatch { what: format!("units with {selector}") });
        }
        self.room += 1;
        let what = format!("labelled units {}: {}", names.join(", "), describe_labels(set, unset));
        Ok(Effect { what, tasks: Vec::new(), units: names })
    }

    fn drain(&mut self, selector: &Selector, drained: bool) -> Result<Effect, Refusal> {
        let matching = |vm: &&mut crate::VmRecord| selector.matches(&vm.labels());
        let mut names = Vec::new();
        let mut keys = Vec::new();
        for record in self.vms.values_mut().filter(matching) {
            record.drained = drained;
            names.push(record.vm.name.clone());
            keys.push(record.key);
        }
        if names.is_empty() {
            return Err(Refusal::NoMatch { what: format!("VMs with {selector}") });
        }
        self.room += 1;
        let tasks = keys.iter().filter_map(|key| self.by_vm.get(key)).flatten().copied().collect();
        let word = if drained { "drained" } else { "took back" };
        Ok(Effect { what: format!("{word} {}", names.join(", ")), tasks, units: Vec::new() })
    }

    fn cancel(
        &mut self,
        names: &[UnitName],
        selector: Option<&Selector>,
    ) -> Result<Effect, Refusal> {
        let chosen: Vec<UnitName> = match selector {
            None => names.to_vec(),
            Some(selector) => {
                let matching = self.units.values().filter(|r| selector.matches(&r.unit.labels));
                matching.filter(|r| !r.ended()).map(|r| r.unit.name.clone()).collect()
            }
        };
        if let Some(missing) = chosen.iter().find(|name| !self.units.contains_key(*name)) {
            return Err(Refusal::NoMatch { what: format!("unit {missing}") });
        }
        if chosen.is_empty() {
            return Err(Refusal::NoMatch { what: "units to cancel".to_owned() });
        }
        for name in &chosen {
            self.cancel_one(name);
        }
        let tasks = self.tasks_of(&chosen);
        let what = format!("cancelled {}", chosen.join(", "));
        Ok(Effect { what, tasks, units: chosen })
    }

    fn cancel_one(&mut self, name: &str) {
        let clock = self.clock;
        let Some(record) = self.units.get_mut(name) else { return };
        if !record.ended() {
            record.standing = Standing::Cancelled;
            record.note(Decision::new(clock, Action::Stop, "an operator cancelled it"));
        }
        let service = record.unit.service().is_some();
        for key in record.tasks.values() {
            let Some(task) = self.tasks.get_mut(key) else { continue };
            if !task.phase.ending() {
                task.phase = if service { Phase::Draining } else { Phase::Stopping };
                task.since = clock;
            }
        }
        self.refresh_wanting(name);
    }

    fn set_quotas(&mut self, teams: &BTreeMap<String, Size>) -> Effect {
        self.quotas.extend(teams.iter().map(|(team, size)| (team.clone(), *size)));
        self.room += 1;
        let limits: Vec<String> = teams.iter().map(|(t, size)| format!("{t}: {size}")).collect();
        let what = format!("set quotas {}", limits.join("; "));
        Effect { what, tasks: Vec::new(), units: Vec::new() }
    }
}

fn describe_labels(set: &Labels, unset: &[String]) -> String {
    let set = set.iter().map(|(key, value)| format!("{key}={value}"));
    let unset = unset.iter().map(|key| format!("{key}-"));
    set.chain(unset).collect::<Vec<_>>().join(" ")
}
