//! Operators who evacuate data centres: each order is sent again until it is acknowledged, as acknowledgements
//! may be lost, leaders replaced and proposals vanish.

use std::collections::BTreeMap;

use pond_job::Change;
use pond_proto::{Millis, Span};
use rand::Rng;

use super::worker::Ill;
use super::{Fate, World};

/// The data centres of the machines, in turn.
pub const DATA_CENTRES: [&str; 3] = ["north", "east", "south"];

/// Time between two copies of an order, in milliseconds.
const AGAIN_MS: Span = 400;

/// The share of acknowledgements that is lost.
const ACKS_LOST: f64 = 0.4;

/// A machine that nothing has disturbed for this long is in touch, in milliseconds: what users allow is 3 s and
/// more.
const IN_TOUCH_MS: Span = 3_000;

/// A worker that gave no answers may carry out starts for so long, in milliseconds.
const LATE_MS: Span = 12_500;

/// Nothing begins this long after the acknowledgement, in milliseconds: a fifth of what users allow.
pub const BEGINS_MS: Span = 1_000;

/// An order that is not acknowledged yet.
struct Order {
    begins: bool,
    /// When the next copy goes out.
    due: Millis,
}

/// What operators ordered, and what they were told.
#[derive(Default)]
pub struct Evacuations {
    orders: BTreeMap<&'static str, Order>,
    /// What was last acknowledged for a data centre, and when.
    acked: BTreeMap<String, (bool, Millis)>,
    /// When each machine was last disturbed, by its place.
    touched: BTreeMap<usize, Millis>,
    /// Acknowledgements that operators received.
    pub acks: usize,
}

impl World {
    /// An operator orders something about a data centre, once an earlier order is acknowledged.
    pub fn order(&mut self, data_centre: &'static str, begins: bool) {
        let due = self.now;
        self.evacuations.orders.entry(data_centre).or_insert(Order { begins, due });
    }

    /// Whether an order is on its way.
    pub fn orders_open(&self) -> bool {
        !self.evacuations.orders.is_empty()
    }

    /// Orders that are due go out, and it is noted which machines are disturbed.
    pub fn operate(&mut self) {
        let now = self.now;
        let led = self.leader.is_some() && self.fate == Fate::Committed;
        for (i, machine) in self.machines.iter().enumerate() {
            let ill = machine.worker.as_ref().map(|worker| worker.ill);
            let until = match ill {
                Some(Ill::Deaf(_)) => now + LATE_MS,
                Some(_) if led && machine.link.is_some() && !machine.cut => continue,
                _ => now,
            };
            let touched = self.evacuations.touched.entry(i).or_insert(until);
            *touched = until.max(*touched);
        }
        if self.leader.is_none() {
            return;
        }
        let due = |order: &&mut Order| order.due <= now;
        let mut changes = Vec::new();
        for (name, order) in &mut self.evacuations.orders {
            if due(&order) {
                order.due = now + AGAIN_MS;
                let data_centre = (*name).to_owned();
                changes.push(match order.begins {
                    true => Change::Evacuate { data_centre, at: now },
                    false => Change::Readmit { data_centre },
                });
            }
        }
        changes.into_iter().for_each(|change| self.propose(change));
    }

    /// A change is in force; the operator may be told.
    pub fn acknowledge(&mut self, change: &Change) {
        let (name, begins) = match change {
            Change::Evacuate { data_centre, .. } => (data_centre, true),
            Change::Readmit { data_centre } => (data_centre, false),
            _ => return,
        };
        let waited = self.evacuations.orders.get(name.as_str());
        if waited.is_some_and(|order| order.begins == begins) && !self.rng.random_bool(ACKS_LOST) {
            self.evacuations.orders.remove(name.as_str());
            self.evacuations.acked.insert(name.clone(), (begins, self.now));
            self.evacuations.acks += 1;
        }
    }

    /// Whether nothing may begin on a machine now.
    pub fn closed_to_starts(&self, i: usize) -> bool {
        let Evacuations { orders, acked, touched, .. } = &self.evacuations;
        let name = self.machines[i].data_centre;
        let closed = acked.get(name).is_some_and(|(begins, at)| {
            *begins && self.now.since(*at) > BEGINS_MS && !orders.contains_key(name)
        });
        // Some of these times lie ahead.
        let in_touch = touched.get(&i).is_none_or(|at| self.now.0 > at.0 + IN_TOUCH_MS);
        closed && in_touch
    }

    /// What was acknowledged and is not in force, though no later order was sent.
    pub fn forgotten(&self) -> Vec<String> {
        let Evacuations { orders, acked, .. } = &self.evacuations;
        let settled = acked.iter().filter(|(name, _)| !orders.contains_key(name.as_str()));
        let differs = |(name, (begins, _)): &(&String, &(bool, Millis))| {
            self.state.is_evacuated(name) != *begins
        };
        settled.filter(differs).map(|(name, _)| name.clone()).collect()
    }
}
