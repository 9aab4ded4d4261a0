//! Handles requests of callers, which entries forward, and reports the result of each proposal to
//! its proposer.

use pond_job::{Admission, Change, Leader, Reply, State};
use pond_link::LinkKey;
use pond_log::event;
use pond_proto::fleet::{JobReply, JobRequest, Outcome, Submit, Target, Verb};
use pond_proto::job::{Phase, Spec};
use pond_proto::wire::Body;
use pond_proto::{Millis, Span};

use crate::admission::{NO_MEMORY_RETRY_MS, Submission};
use crate::pending::Waiter;
use crate::replica::Replica;

/// Where a submitted job comes from.
#[derive(Clone, Copy)]
struct Origin {
    /// The link to the entry.
    link: LinkKey,
    /// The ticket that the entry chose.
    ticket: u64,
    /// Whether the entry knows [`Outcome::Rejected`].
    understands_rejection: bool,
}

impl Replica {
    /// Handles a caller's request that an entry forwarded.
    pub(crate) fn caller_request(&mut self, now: Millis, link: LinkKey, request: JobRequest) {
        let Some(verb) = request.verb else { return };
        let (ticket, understands_rejection) = (request.ticket, request.understands_rejection);
        if !self.holds_lease(now) || self.stopping.is_some() {
            self.send_answer(link, answer(ticket, Outcome::NotLeader));
            return;
        }
        if let Some(outcome) = self.refusal(&request.target) {
            self.send_answer(link, answer(ticket, outcome));
            return;
        }
        match verb {
            Verb::Submit(submit) => {
                let origin = Origin { link, ticket, understands_rejection };
                self.submit(now, origin, request.target, submit);
            }
            Verb::Cancel(job) => {
                let origin = Origin { link, ticket, understands_rejection };
                self.cancel(now, origin, request.target, job.id);
            }
            Verb::Look(job) => {
                let known = self.state.job(job.id).map(|job| job.phase);
                let answer = match known {
                    Some(phase) => {
                        JobReply { phase: phase as i32, ..answer(ticket, Outcome::Known) }
                    }
                    None => answer(ticket, Outcome::NoJob),
                };
                event!(self.log, REQUEST_ANSWERED, "job" => format!("{:016x}", job.id),
                    "phase" => format!("{known:?}"), "applied" => self.applied);
                self.send_answer(link, answer);
            }
            Verb::Count(_) => {
                let count = self.waiting_jobs(&request.target);
                self.send_answer(link, JobReply { count, ..answer(ticket, Outcome::Counted) });
            }
        }
    }

    /// Returns why a request to this target cannot be served, if so.
    fn refusal(&self, target: &Target) -> Option<Outcome> {
        let Some(configuration) = self.state.configuration() else {
            return Some(Outcome::NotConfigured);
        };
        let queue = configuration.queue_for(&target.host, &target.path);
        queue.is_none().then_some(Outcome::NoQueue)
    }

    fn waiting_jobs(&self, target: &Target) -> u64 {
        let configuration = self.state.configuration();
        let queue = configuration.and_then(|active| active.queue_for(&target.host, &target.path));
        let waiting =
            |leader: &Leader| queue.map_or(0, |queue| leader.waiting(&self.state, queue.key()));
        self.leader.as_ref().map_or(0, waiting)
    }

    fn submit(&mut self, now: Millis, origin: Origin, target: Target, submit: Submit) {
        let Submit { id, spec } = submit;
        let Origin { link, ticket, .. } = origin;
        if self.state.job(id).is_some() {
            self.send_answer(link, answer(ticket, Outcome::Accepted));
            return;
        }
        if !State::is_acceptable(&spec) {
            event!(self.log, JOB_REJECTED, "job" => format!("{id:016x}"), "why" => "malformed");
            self.send_answer(link, answer(ticket, Outcome::Invalid));
            return;
        }
        if self.state.is_cancelled(id) {
            // Nothing of the job is needed: it is kept as a cancelled one.
            let (Target { host, path }, spec) = (target, Spec::default());
            let change = Change::Submit { host, path, id, spec, at: self.wall_time() };
            self.propose(now, &change, Waiter::Entry { link, ticket, job: id });
            return;
        }
        match self.admit(now, origin, &target, id, &spec) {
            Ok(at) => {
                let change = Change::Submit { host: target.host, path: target.path, id, spec, at };
                self.propose(now, &change, Waiter::Entry { link, ticket, job: id });
            }
            Err(retry_after_ms) => {
                let rejected = answer(ticket, Outcome::Rejected);
                self.send_answer(link, JobReply { retry_after_ms, ..rejected });
            }
        }
    }

    /// Decides whether a job that is not in the state is accepted. Returns when it was submitted, or the
    /// time after which to retry.
    ///
    /// A job with a proposal in flight may already be accepted, so its copies are not rejected.
    fn admit(
        &mut self,
        now: Millis,
        origin: Origin,
        target: &Target,
        id: u64,
        spec: &Spec,
    ) -> Result<Millis, Span> {
        let wall = self.wall_time();
        if !origin.understands_rejection || self.pending.is_in_flight(id) {
            return Ok(wall);
        }
        let Some(client) = self.clients.get(&origin.link) else { return Ok(wall) };
        let request = (client.incarnation, origin.ticket);
        if let Some(retry_after_ms) = self.rejections.get(request) {
            return Err(retry_after_ms);
        }
        let configuration = self.state.configuration();
        let queue = configuration.and_then(|active| active.queue_for(&target.host, &target.path));
        // A leader exists once all earlier entries of the log are applied. Until then an accepted job may
        // be missing from the state, and a copy of it must not be rejected.
        let (Some(queue), Some(leader)) = (queue, &mut self.leader) else { return Ok(wall) };
        let needed = State::memory_bytes(spec) + target.host.len() + target.path.len();
        if !self.job_memory.reserve(now, &self.state, needed) {
            event!(self.log, JOB_REJECTED, "job" => format!("{id:016x}"),
                "why" => "no memory for further jobs");
            self.rejections.insert(request, NO_MEMORY_RETRY_MS);
            return Err(NO_MEMORY_RETRY_MS);
        }
        let submission = Submission { id, spec, queue, now, wall };
        let admission = self.admitter.admit(leader, &self.state, submission);
        self.admission_counters.count(&self.metrics, &queue.name, &admission);
        match admission {
            Admission::Accepted { submitted_at } => Ok(submitted_at),
            Admission::Rejected(rejection) => {
                self.rejections.insert(request, rejection.retry_after_ms);
                Err(rejection.retry_after_ms)
            }
        }
    }

    fn cancel(&mut self, now: Millis, origin: Origin, target: Target, id: u64) {
        let Origin { link, ticket, .. } = origin;
        match self.state.job(id).map(|job| job.phase) {
            None => self.cancel_unknown(now, origin, &target, id),
            Some(Phase::Cancelled) => self.send_answer(link, answer(ticket, Outcome::Accepted)),
            Some(_) => {
                let change = Change::Cancel { host: target.host, path: target.path, id };
                self.propose(now, &change, Waiter::Entry { link, ticket, job: id });
            }
        }
    }

    /// Cancels an id that no job has. The job may be on its way: at another entry, or proposed and not applied yet. So
    /// the cancellation is put into the log, where a later job finds it.
    fn cancel_unknown(&mut self, now: Millis, origin: Origin, target: &Target, id: u64) {
        let Origin { link, ticket, understands_rejection } = origin;
        if self.state.is_cancelled(id) {
            self.send_answer(link, answer(ticket, Outcome::NoJob));
            return;
        }
        let configuration = self.state.configuration();
        let queue = configuration.and_then(|active| active.queue_for(&target.host, &target.path));
        let Some(queue) = queue else {
            self.send_answer(link, answer(ticket, Outcome::NoQueue));
            return;
        };
        if self.state.cancelled_ids().len() >= State::MAX_CANCELLED_IDS {
            self.reject_cancellation(link, ticket, understands_rejection, id);
            return;
        }
        // The path of the queue suffices, and callers cannot make it longer.
        let change = Change::Cancel { host: queue.host.clone(), path: queue.prefix.clone(), id };
        let waiter = Waiter::Cancellation { link, ticket, job: id, understands_rejection };
        self.propose(now, &change, waiter);
    }

    /// Answers that the cancellation of an unknown id is not kept, and that it should be sent again later.
    fn reject_cancellation(&self, link: LinkKey, ticket: u64, understands: bool, id: u64) {
        event!(self.log, CANCELLATION_REJECTED, "job" => format!("{id:016x}"),
            "kept" => self.state.cancelled_ids().len());
        // Entries of earlier versions answer both with 503.
        let outcome = if understands { Outcome::Rejected } else { Outcome::NotConfigured };
        let rejected = answer(ticket, outcome);
        self.send_answer(link, JobReply { retry_after_ms: NO_MEMORY_RETRY_MS, ..rejected });
    }

    /// Reports the result of an applied change to its proposer.
    pub(crate) fn notify(&mut self, waiter: Waiter, reply: &Reply) {
        match waiter {
            Waiter::Entry { link, ticket, job } => {
                let outcome = match reply {
                    Reply::NoQueue => Outcome::NoQueue,
                    Reply::NotConfigured => Outcome::NotConfigured,
                    Reply::NoJob | Reply::TooManyCancelled => Outcome::NoJob,
                    Reply::Accepted
                    | Reply::Started(_)
                    | Reply::Ended(_)
                    | Reply::Configured { .. } => Outcome::Accepted,
                };
                event!(self.log, REQUEST_ANSWERED, "job" => format!("{job:016x}"),
                    "outcome" => format!("{outcome:?}"), "applied" => self.applied);
                self.send_answer(link, answer(ticket, outcome));
            }
            Waiter::Cancellation { link, ticket, job, understands_rejection } => match reply {
                Reply::TooManyCancelled => {
                    self.reject_cancellation(link, ticket, understands_rejection, job);
                }
                reply => self.notify(Waiter::Entry { link, ticket, job }, reply),
            },
            Waiter::Operator(answer) => {
                // The operator may have disconnected.
                let _ = answer.send(Ok(()));
            }
            Waiter::Starts | Waiter::Decision => {}
        }
    }

    /// Reports to the proposer of a change that it is certainly not in the log.
    pub(crate) fn reject(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Entry { link, ticket, .. } | Waiter::Cancellation { link, ticket, .. } => {
                self.send_answer(link, answer(ticket, Outcome::NotLeader));
            }
            Waiter::Operator(reply) => {
                // The operator may have disconnected.
                let _ = reply.send(Err(self.not_leader(self.now())));
            }
            Waiter::Starts => {
                if let Some(leader) = &mut self.leader {
                    leader.start_rejected();
                }
            }
            Waiter::Decision => {}
        }
    }

    fn send_answer(&self, link: LinkKey, reply: JobReply) {
        if let Some(client) = self.clients.get(&link) {
            // If the link is full, the message is lost; the entry retries or times out.
            client.sender.send(Body::JobReply(reply));
        }
    }
}

fn answer(ticket: u64, outcome: Outcome) -> JobReply {
    JobReply { ticket, outcome: outcome as i32, phase: Phase::Queued as i32, ..JobReply::default() }
}
