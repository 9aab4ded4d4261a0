//! What only a leader does: decides about runs, orders, changes members, tells who leads.

use pond_job::{Change, Leader, Output, Question};
use pond_link::LinkKey;
use pond_log::event;
use pond_proto::fleet::{Lead, Report};
use pond_proto::wire::Body;
use pond_proto::{Millis, Span};
use pond_quorum::Input;

use crate::formation::Replacement;
use crate::handle::Request;
use crate::replica::Replica;
use crate::waiting::Waiter;

/// A voter that cannot be reached for this long is removed if that costs nothing, in milliseconds:
/// longer than a restart or a cut usually takes.
const GONE_MS: Span = 10_000;

impl Replica {
    /// Decides, while this replica leads.
    pub(crate) fn lead(&mut self, now: Millis) {
        if !self.core.ready() || self.abstains() {
            return;
        }
        if self.leader.is_none() {
            event!(self.log, LEADER, "term" => self.core.term());
            let leader = Leader::new(self.core.term(), self.settings.timing, now);
            self.leader = Some(leader.with_lesson(self.state.estimates(), self.wall()));
        }
        let granting = self.certain(now) && self.stopping.is_none();
        let wall = self.wall();
        let Some(leader) = &mut self.leader else { return };
        for output in leader.tick(&self.state, now, wall, granting) {
            match output {
                Output::Propose(change) => {
                    let starts = matches!(change, Change::Start(_));
                    let waiter = if starts { Waiter::Starts } else { Waiter::Own };
                    self.propose(now, &change, waiter);
                }
                Output::Order { link, order } => {
                    // An order that is lost is made again.
                    if let Some(guest) = self.guests.get(&LinkKey(link)) {
                        guest.sender.send(Body::Order(order));
                    }
                }
                Output::Advise(question) => self.advise(question),
                Output::Decided(decision) => self.log_decision(decision),
            }
        }
        if self.stopping.is_none() {
            self.change_members(now);
        }
    }

    /// Asks the adviser beside everything else; its answer comes back as a request.
    fn advise(&self, question: Question) {
        let (adviser, own) = (self.adviser.clone(), self.own.clone());
        tokio::spawn(async move {
            let permits = adviser.advise(question.clone()).await;
            // The replica is gone only when it has stopped.
            let _ = own.requests.send(Request::Advised(question, permits)).await;
        });
    }

    pub(crate) fn report(&mut self, now: Millis, link: LinkKey, report: Report) {
        let Some(leader) = &mut self.leader else { return };
        let Some(guest) = self.guests.get(&link) else { return };
        leader.report(&self.state, now, link.0, &guest.name, report);
    }

    fn change_members(&mut self, now: Millis) {
        let reached = |address: &str| self.peers.down_since(address).is_none();
        match self.formation.replacement(self.core.members(), reached) {
            Some(Replacement::Remove(old)) => {
                event!(self.log, REPLACED, "replica" => old.address.clone());
                self.core.step(now, Input::Remove(old.id));
            }
            Some(Replacement::Add(new)) => {
                event!(self.log, MEMBER_ADDED, "replica" => new.address.clone());
                self.core.step(now, Input::Add(new));
            }
            None => self.remove_gone(now),
        }
    }

    /// An even number of voters bears no more losses than one voter fewer, so one that is gone is
    /// removed.
    fn remove_gone(&mut self, now: Millis) {
        let members = self.core.members();
        let voters = members.voters().count();
        if voters < 4 || !voters.is_multiple_of(2) {
            return;
        }
        let gone = members.list.iter().find(|member| {
            let down = self.peers.down_since(&member.address);
            member.id != self.core.id() && down.is_some_and(|since| now.since(since) >= GONE_MS)
        });
        if let Some(gone) = gone.cloned() {
            event!(self.log, REPLACED, "replica" => gone.address.clone());
            self.formation.forget(&gone.address);
            self.core.step(now, Input::Remove(gone.id));
        }
    }

    /// The addresses of the members; of all replicas that are known while there is no quorum yet.
    fn replicas(&self) -> Vec<String> {
        let members = &self.core.members().list;
        if members.is_empty() {
            return self.peers.known();
        }
        members.iter().map(|member| member.address.clone()).collect()
    }

    /// Tells all who are linked who leads, when that changes.
    pub(crate) fn tell_who_leads(&mut self, now: Millis) {
        let leader = self.core.leader().map(|leader| leader.address.clone());
        let lead = Lead {
            leader: leader.unwrap_or_default(),
            replicas: self.replicas(),
            term: self.core.term(),
            leads: self.certain(now) && self.stopping.is_none(),
            configured: self.state.configuration().is_some(),
        };
        if self.told.as_ref() == Some(&lead) {
            return;
        }
        for guest in self.guests.values() {
            guest.sender.send(Body::Lead(lead.clone()));
        }
        self.told = Some(lead);
    }
}
