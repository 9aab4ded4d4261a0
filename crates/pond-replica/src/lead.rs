//! Duties of the leader: decisions about runs, orders to agents. Also announces the leader to linked
//! processes.

use pond_job::{Change, Leader, Output, Question, ShareFigures};
use pond_link::LinkKey;
use pond_log::event;
use pond_proto::Millis;
use pond_proto::fleet::{LeaderInfo, Report};
use pond_proto::wire::Body;

use crate::handle::Request;
use crate::pending::Waiter;
use crate::replica::Replica;

impl Replica {
    /// Makes the leader's decisions and acts on them, while this replica leads.
    pub(crate) fn lead(&mut self, now: Millis) {
        if !self.core.ready() || self.disk_is_full() {
            return;
        }
        if self.leader.is_none() {
            event!(self.log, LEADER, "term" => self.core.term());
            let leader = Leader::new(self.core.term(), self.settings.timing, now);
            self.leader = Some(leader.with_estimates(self.state.estimates(), self.wall_time()));
        }
        let granting = self.holds_lease(now) && self.stopping.is_none();
        let wall = self.wall_time();
        let Some(leader) = &mut self.leader else { return };
        let outputs = leader.tick(&self.state, now, wall, granting);
        self.metrics.gauge("slow_workers", leader.slow_workers() as u64);
        for output in outputs {
            match output {
                Output::Propose(change) => {
                    let starts = matches!(change, Change::Start(_));
                    let waiter = if starts { Waiter::Starts } else { Waiter::Decision };
                    self.propose(now, &change, waiter);
                }
                Output::Order { link, order } => {
                    // A lost order is repeated.
                    if let Some(client) = self.clients.get(&LinkKey(link)) {
                        client.sender.send(Body::Order(order));
                    }
                }
                Output::Advise(question) => self.advise(question),
                Output::Decided(decision) => self.log_decision(decision),
                Output::Share(figures) => self.record_share(&figures),
            }
        }
        if self.stopping.is_none() {
            self.change_members(now);
        }
    }

    fn record_share(&self, figures: &ShareFigures) {
        let ShareFigures { pool, remaining_milli_cpu, entitled_milli_cpu } = figures;
        self.metrics
            .gauge(&format!("short_room_milli_cpu{{pool=\"{pool}\"}}"), *remaining_milli_cpu);
        self.metrics.gauge(&format!("entitled_milli_cpu{{pool=\"{pool}\"}}"), *entitled_milli_cpu);
    }

    /// Asks the adviser in a separate task; the answer arrives as a request.
    fn advise(&self, question: Question) {
        let (adviser, handle) = (self.adviser.clone(), self.handle.clone());
        tokio::spawn(async move {
            let permits = adviser.advise(question.clone()).await;
            // Sending fails only after the replica has stopped.
            let _ = handle.requests.send(Request::Advised(question, permits)).await;
        });
    }

    pub(crate) fn report(&mut self, now: Millis, link: LinkKey, report: Report) {
        let Some(leader) = &mut self.leader else { return };
        let Some(client) = self.clients.get(&link) else { return };
        leader.report(&self.state, now, link.0, &client.name, report);
    }

    /// Returns the addresses of the members, or of all known replicas while there is no quorum yet.
    fn replicas(&self) -> Vec<String> {
        let members = &self.core.members().list;
        if members.is_empty() {
            return self.peers.known_addresses();
        }
        members.iter().map(|member| member.address.clone()).collect()
    }

    /// Announces the leader and the replicas to all linked processes, when they have changed.
    pub(crate) fn announce_leader(&mut self, now: Millis) {
        let leader = self.core.leader().map(|leader| leader.address.clone());
        let lead = LeaderInfo {
            leader: leader.unwrap_or_default(),
            replicas: self.replicas(),
            term: self.core.term(),
            is_leader: self.holds_lease(now) && self.stopping.is_none(),
            configured: self.state.configuration().is_some(),
        };
        if self.announced.as_ref() == Some(&lead) {
            return;
        }
        for client in self.clients.values() {
            client.sender.send(Body::LeaderInfo(lead.clone()));
        }
        self.announced = Some(lead);
    }
}
