//! The duties of the leader: planning, reconciling workers and publishing the configuration.

use pond_log::event;
use pond_proto::wire::{Body, Heartbeat};
use pond_proto::{Millis, Span};
use pond_quorum::{Input as QuorumInput, Role};
use pond_sched::Scheduler;

use super::{Leadership, Replica};
use crate::formation::Replacement;
use crate::platform::Order;
use crate::reconcile::{CallResult, Reconciler, Step};
use crate::tickets::Waiter;

/// Time between two rounds of decisions, in milliseconds.
const DECISION_INTERVAL_MS: Span = 20;

/// Time between heartbeats to other replicas, in milliseconds.
const HEARTBEAT_INTERVAL_MS: Span = 200;

/// Time between heartbeats to entries and endpoint processes while the leader does not change, in
/// milliseconds.
const ANNOUNCE_INTERVAL_MS: Span = 2_000;

/// Maximum number of pending proposals of this replica's reconciler and scheduler.
const MAX_OWN_PENDING: usize = 2048;

impl Replica {
    pub(super) fn lead(&mut self, now: Millis) {
        if !self.core.ready() || self.abstains() {
            return;
        }
        if self.leadership.is_none() {
            let reconciler = Reconciler::new(self.parts.times, self.core.term(), now);
            let scheduler = Scheduler::new();
            self.leadership = Some(Leadership { reconciler, scheduler, last_decision: Millis(0) });
            self.publisher.reset_to_acknowledged();
            self.last_heartbeat = Millis(0);
        }
        let granting = self.core.lease_until().is_some_and(|until| now < until);
        if granting {
            self.publisher.publish(&self.state, self.core.term());
        }
        let due = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| now.since(leadership.last_decision) >= DECISION_INTERVAL_MS);
        if due && self.stopping.is_none() {
            self.decide(now, granting);
            self.replace_lost_disks(now);
        }
    }

    pub(super) fn decide(&mut self, now: Millis, granting: bool) {
        let wall = self.parts.clock.wall();
        let Some(mut leadership) = self.leadership.take() else { return };
        leadership.last_decision = now;
        let publisher = &self.publisher;
        let is_drained = |address: &str, task: u64| publisher.is_drained(address, task);
        leadership.reconciler.tick(&self.state, now, wall, granting, &is_drained);
        let steps = leadership.reconciler.take_steps();
        let idle = self.tickets.own_pending() == 0;
        let plan = if granting && idle && steps.is_empty() {
            leadership.scheduler.plan(&self.state, wall)
        } else {
            Vec::new()
        };
        self.leadership = Some(leadership);
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
                if self.tickets.own_pending() < MAX_OWN_PENDING {
                    self.propose(now, change, Waiter::Own);
                } else if let Some(leadership) = &mut self.leadership {
                    leadership.reconciler.proposal_ended(&change);
                }
            }
            Step::Call { vm, worker, call } => {
                let order = Order { vm, worker, call, sent: now };
                if let Err(error) = self.parts.orders.try_send(order) {
                    let order = error.into_inner();
                    let result =
                        Err(pond_platform::Error::NotSent("the order channel is full".to_owned()));
                    let call_result = CallResult { vm, call: order.call, sent: now, result };
                    let wall = self.parts.clock.wall();
                    if let Some(leadership) = &mut self.leadership {
                        leadership.reconciler.call_ended(&self.state, now, wall, call_result);
                    }
                }
            }
        }
    }

    pub(super) fn replace_lost_disks(&mut self, now: Millis) {
        if !self.core.may_change_members() {
            return;
        }
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
                if let Some(leadership) = &mut self.leadership {
                    leadership.reconciler.listed(&self.state, now, wall, vms);
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

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        if now.since(self.last_heartbeat) < HEARTBEAT_INTERVAL_MS {
            return;
        }
        self.last_heartbeat = now;
        let leader = self.core.leader().map(|leader| leader.address.clone()).unwrap_or_default();
        let is_leader = self.core.ready() && self.stopping.is_none() && !self.abstains();
        let announcement = (leader.clone(), self.core.term());
        let due =
            self.announced != announcement || now.since(self.announced_at) >= ANNOUNCE_INTERVAL_MS;
        if due && (is_leader || self.core.role() != Role::Leader) {
            self.publisher.broadcast_heartbeat(&leader, self.core.term());
            self.announced = announcement;
            self.announced_at = now;
        }
        let (snapshot_index, checksum) = self.checksum;
        let heartbeat = Heartbeat { leader, term: self.core.term(), snapshot_index, checksum };
        for (_, sender) in self.peers.values() {
            sender.send(Body::Heartbeat(heartbeat.clone()));
        }
    }
}
