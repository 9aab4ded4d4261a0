//! Requests of callers and operators.

use pond_job::{Change, Leader, Reply, State};
use pond_link::LinkKey;
use pond_log::event;
use pond_proto::Millis;
use pond_proto::fleet::{Ask, Outcome, Submit, Target, Tell, Verb};
use pond_proto::job::Phase;
use pond_proto::wire::Body;

use crate::replica::Replica;
use crate::waiting::Waiter;

impl Replica {
    /// A caller asks something through an entry.
    pub(crate) fn ask(&mut self, now: Millis, link: LinkKey, ask: Ask) {
        let Some(verb) = ask.verb else { return };
        let ticket = ask.ticket;
        if !self.certain(now) || self.stopping.is_some() {
            self.send_tell(link, tell(ticket, Outcome::NotLeader));
            return;
        }
        if let Some(outcome) = self.refusal(&ask.target) {
            self.send_tell(link, tell(ticket, outcome));
            return;
        }
        match verb {
            Verb::Submit(submit) => self.submit(now, link, ticket, ask.target, submit),
            Verb::Cancel(job) => self.cancel(now, link, ticket, ask.target, job.id),
            Verb::Look(job) => {
                let known = self.state.job(job.id).map(|job| job.phase);
                let answer = match known {
                    Some(phase) => Tell { phase: phase as i32, ..tell(ticket, Outcome::Known) },
                    None => tell(ticket, Outcome::NoJob),
                };
                event!(self.log, REQUEST_ANSWERED, "job" => format!("{:016x}", job.id),
                    "phase" => format!("{known:?}"), "applied" => self.applied);
                self.send_tell(link, answer);
            }
            Verb::Count(_) => {
                let count = self.waiting_jobs(&ask.target);
                self.send_tell(link, Tell { count, ..tell(ticket, Outcome::Counted) });
            }
        }
    }

    /// Why a request cannot be served at all.
    fn refusal(&self, target: &Target) -> Option<Outcome> {
        let Some(configuration) = self.state.configuration() else {
            return Some(Outcome::NotConfigured);
        };
        let queue = configuration.queue_for(&target.host, &target.path);
        queue.is_none().then_some(Outcome::NoQueue)
    }

    fn waiting_jobs(&self, target: &Target) -> u64 {
        let configuration = self.state.configuration();
        let queue = configuration.and_then(|held| held.queue_for(&target.host, &target.path));
        let waiting =
            |leader: &Leader| queue.map_or(0, |queue| leader.waiting(&self.state, &queue.name));
        self.leader.as_ref().map_or(0, waiting)
    }

    fn submit(&mut self, now: Millis, link: LinkKey, ticket: u64, target: Target, submit: Submit) {
        let Submit { id, spec } = submit;
        if self.state.job(id).is_some() {
            self.send_tell(link, tell(ticket, Outcome::Accepted));
            return;
        }
        if !State::is_acceptable(&spec) {
            event!(self.log, JOB_REJECTED, "job" => format!("{id:016x}"), "why" => "malformed");
            self.send_tell(link, tell(ticket, Outcome::Invalid));
            return;
        }
        let at = self.wall();
        let change = Change::Submit { host: target.host, path: target.path, id, spec, at };
        self.propose(now, &change, Waiter::Entry { link, ticket, job: id });
    }

    fn cancel(&mut self, now: Millis, link: LinkKey, ticket: u64, target: Target, id: u64) {
        match self.state.job(id).map(|job| job.phase) {
            None => self.send_tell(link, tell(ticket, Outcome::NoJob)),
            Some(Phase::Cancelled) => self.send_tell(link, tell(ticket, Outcome::Accepted)),
            Some(_) => {
                let change = Change::Cancel { host: target.host, path: target.path, id };
                self.propose(now, &change, Waiter::Entry { link, ticket, job: id });
            }
        }
    }

    /// Tells who waited for a change what came of it.
    pub(crate) fn tell(&mut self, waiter: Waiter, reply: &Reply) {
        match waiter {
            Waiter::Entry { link, ticket, job } => {
                let outcome = match reply {
                    Reply::NoQueue => Outcome::NoQueue,
                    Reply::NotConfigured => Outcome::NotConfigured,
                    Reply::NoJob => Outcome::NoJob,
                    Reply::Accepted | Reply::Started(_) | Reply::Ended(_) => Outcome::Accepted,
                };
                event!(self.log, REQUEST_ANSWERED, "job" => format!("{job:016x}"),
                    "outcome" => format!("{outcome:?}"), "applied" => self.applied);
                self.send_tell(link, tell(ticket, outcome));
            }
            Waiter::Operator(answer) => {
                // The operator may have left.
                let _ = answer.send(Ok(()));
            }
            Waiter::Starts | Waiter::Own => {}
        }
    }

    /// Tells who waited that the change is surely not in the log.
    pub(crate) fn reject(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Entry { link, ticket, .. } => {
                self.send_tell(link, tell(ticket, Outcome::NotLeader));
            }
            Waiter::Operator(reply) => {
                // The operator may have left.
                let _ = reply.send(Err(self.elsewhere(self.now())));
            }
            Waiter::Starts => {
                if let Some(leader) = &mut self.leader {
                    leader.start_rejected();
                }
            }
            Waiter::Own => {}
        }
    }

    fn send_tell(&self, link: LinkKey, tell: Tell) {
        if let Some(guest) = self.guests.get(&link) {
            // If the link is full, the entry asks again or gives up by itself.
            guest.sender.send(Body::Tell(tell));
        }
    }
}

fn tell(ticket: u64, outcome: Outcome) -> Tell {
    Tell { ticket, outcome: outcome as i32, phase: Phase::Queued as i32, count: 0 }
}
