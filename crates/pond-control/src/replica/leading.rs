//! What only a leader does: plans, brings workers in line, sends configuration.

use pond_log::event;
use pond_proto::wire::{Beat, Body};
use pond_proto::{Millis, Span};
use pond_quorum::{Input as QuorumInput, Role};
use pond_sched::Scheduler;

use super::{Duty, Replica};
use crate::formation::Replacement;
use crate::platform::Order;
use crate::reconcile::{Fact, Reconciler, Step};
use crate::tickets::Waiter;

/// Time between looks at what is to be decided, in milliseconds.
const DECIDE_MS: Span = 20;

/// Time between beats to other replicas, in milliseconds.
const BEAT_MS: Span = 200;

/// Time between beats to entries and endpoint processes while nothing changes, in milliseconds.
const TOLD_MS: Span = 2_000;

/// Proposals of this replica that may be open before it plans more.
const OWN_OPEN: usize = 2048;

impl Replica {
    // Leading.

    pub(super) fn lead(&mut self, now: Millis) {
        if !self.core.ready() || self.abstains() {
            return;
        }
        if self.duty.is_none() {
            let reconciler = Reconciler::new(self.parts.times, self.core.term(), now);
            let scheduler = Scheduler::new();
            self.duty = Some(Duty { reconciler, scheduler, decided: Millis(0) });
            self.publisher.restart();
            self.beat = Millis(0);
        }
        let granting = self.core.lease_until().is_some_and(|until| now < until);
        if granting {
            self.publisher.publish(&self.state, self.core.term());
        }
        let due = self.duty.as_ref().is_some_and(|duty| now.since(duty.decided) >= DECIDE_MS);
        if due && self.stopping.is_none() {
            self.decide(now, granting);
            self.replace_lost_disks(now);
        }
    }

    pub(super) fn decide(&mut self, now: Millis, granting: bool) {
        let wall = self.parts.clock.wall();
        let Some(mut duty) = self.duty.take() else { return };
        duty.decided = now;
        let publisher = &self.publisher;
        let quiet = |address: &str, task: u64| publisher.quiet(address, task);
        duty.reconciler.tick(&self.state, now, wall, granting, &quiet);
        let steps = duty.reconciler.take_steps();
        let idle = self.tickets.own_open() == 0;
        let plan = if granting && idle && steps.is_empty() {
            duty.scheduler.plan(&self.state, wall)
        } else {
            Vec::new()
        };
        self.duty = Some(duty);
        for step in steps {
            self.step(now, step);
        }
        for change in plan {
            self.propose(now, change, Waiter::Own);
        }
    }

    pub(super) fn step(&mut self, now: Millis, step: Step) {
        match step {
            Step::Propose(change) => {
                if self.tickets.own_open() < OWN_OPEN {
                    self.propose(now, change, Waiter::Own);
                } else if let Some(duty) = &mut self.duty {
                    duty.reconciler.settled(&change);
                }
            }
            Step::Call { vm, worker, call } => {
                let order = Order { vm, worker, call, sent: now };
                if let Err(error) = self.parts.orders.try_send(order) {
                    let order = error.into_inner();
                    let result = Err(pond_platform::Error::NotSent("the ring is full".to_owned()));
                    let fact = Fact { vm, call: order.call, sent: now, result };
                    let wall = self.parts.clock.wall();
                    if let Some(duty) = &mut self.duty {
                        duty.reconciler.fact(&self.state, now, wall, fact);
                    }
                }
            }
        }
    }

    pub(super) fn replace_lost_disks(&mut self, now: Millis) {
        match self.formation.replacement(self.core.members()) {
            None => {}
            Some(Replacement::Remove(old)) => {
                event!(self.parts.log, REPLACED, "replica" => old.name.clone());
                self.core.step(now, QuorumInput::Remove(old.id));
            }
            Some(Replacement::Add(new)) => self.core.step(now, QuorumInput::Add(new)),
        }
    }

    pub(super) fn listed(&mut self, now: Millis, list: Result<Vec<pond_proto::Vm>, String>) {
        let wall = self.parts.clock.wall();
        match list {
            Ok(vms) => {
                self.list_failed = false;
                if let Some(duty) = &mut self.duty {
                    duty.reconciler.listed(&self.state, now, wall, vms);
                }
            }
            Err(why) => {
                if !self.list_failed {
                    event!(self.parts.log, LIST_FAILED, "why" => why);
                }
                self.list_failed = true;
            }
        }
    }

    pub(super) fn beat(&mut self, now: Millis) {
        if now.since(self.beat) < BEAT_MS {
            return;
        }
        self.beat = now;
        let leader = self.core.leader().map(|leader| leader.address.clone()).unwrap_or_default();
        let leads = self.core.ready() && self.stopping.is_none() && !self.abstains();
        let news = (leader.clone(), self.core.term());
        let due = self.told != news || now.since(self.told_at) >= TOLD_MS;
        if due && (leads || self.core.role() != Role::Leader) {
            self.publisher.beat(&leader, self.core.term());
            self.told = news;
            self.told_at = now;
        }
        let (snapshot_index, checksum) = self.checksum;
        let beat = Beat { leader, term: self.core.term(), snapshot_index, checksum };
        for (_, sender) in self.peers.values() {
            sender.send(Body::Beat(beat.clone()));
        }
    }
}
