//! Requests that wait for an answer of the leading control replica.

use std::collections::BTreeMap;

use pond_proto::fleet::{JobReply, JobRequest, Outcome, Target, Verb};
use pond_proto::{Millis, Span};

use crate::outages::Outages;

/// Longest time after which a caller is told to retry, in milliseconds; the same as the longest that
/// control names for a rejected job. A caller that returns too early costs one more request; one that
/// returns long after the end of the outage has lost the value of its job.
const MAX_RETRY_AFTER_MS: Span = 5_000;

/// Delay before a request that the leader refused is sent again, in milliseconds. The leader's lease
/// may have lapsed for a moment; its next heartbeat renews it.
const RESEND_DELAY_MS: Span = 50;

/// Maximum number of waiting requests. Answers take milliseconds, so an election at a thousand requests
/// a second leaves fewer than this. Beyond it, control is overloaded and requests fail at once.
const MAX_WAITING: usize = 2_000;

/// The result of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The reply of control.
    Replied(JobReply),
    /// The request certainly did not run and will not run.
    NotRun {
        /// Time after which to retry, in milliseconds; `None` if it is unknown.
        retry_after_ms: Option<Span>,
    },
    /// The request found no memory to wait in. It did not run and will not run.
    NoMemory,
    /// The request may have run, or may still run.
    Unknown,
}

/// An action for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to the leader, then call [`Dispatcher::sent`].
    Send(JobRequest),
    /// Answer the caller of a request.
    Answer {
        /// Ticket of the request.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
}

/// A request that waits for an answer.
#[derive(Debug)]
struct Waiting {
    request: JobRequest,
    /// Whether it was sent to a replica, which may have proposed it.
    sent: bool,
    deadline: Millis,
    /// Whether the leader refused it, as it could not be sure that it still leads.
    refused: bool,
    /// Time at which it is sent again.
    resend_at: Option<Millis>,
}

impl Waiting {
    /// Whether the request has certainly not run. Read-only requests change nothing, whether or not they
    /// were sent.
    fn not_run(&self) -> bool {
        !self.sent || matches!(self.request.verb, Some(Verb::Look(_) | Verb::Count(_)))
    }

    /// Returns until when the request waits for a leader; `None` if it does not wait. A request that has
    /// not run and whose deadline comes before the expected end of the outage waits for one election at
    /// most, so that its caller can retry: most outages last no longer, whatever the ones before. The
    /// result of a request that may have run is unknown until a leader answers, so it waits even then.
    fn leader_wait(&self, now: Millis, outages: &Outages) -> Option<Millis> {
        let expected = outages.expected_end(now);
        let in_time = |expected: &Millis| *expected < self.deadline || !self.not_run();
        expected.filter(in_time).or(outages.election_end(now))
    }
}

/// Sends requests to the leader and keeps track of those without an answer.
#[derive(Debug, Default)]
pub struct Dispatcher {
    next_ticket: u64,
    waiting: BTreeMap<u64, Waiting>,
    has_leader: bool,
    outages: Outages,
    outputs: Vec<Output>,
}

impl Dispatcher {
    /// Creates a dispatcher without requests.
    pub fn new() -> Dispatcher {
        Dispatcher::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request that may take `timeout_ms`, and returns its ticket.
    pub fn request(&mut self, now: Millis, target: Target, verb: Verb, timeout_ms: Span) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if self.waiting.len() >= MAX_WAITING {
            let answer = Answer::NotRun { retry_after_ms: self.retry_after_ms(now) };
            self.outputs.push(Output::Answer { ticket, answer });
            return ticket;
        }
        let request = JobRequest { ticket, target, verb: Some(verb), understands_rejection: true };
        if self.has_leader {
            self.outputs.push(Output::Send(request.clone()));
        }
        let deadline = now + timeout_ms;
        self.waiting.insert(
            ticket,
            Waiting { request, sent: false, deadline, refused: false, resend_at: None },
        );
        ticket
    }

    /// Reports whether a request could be sent.
    pub fn sent(&mut self, ticket: u64, sent: bool) {
        if !sent {
            self.fail(ticket, None);
        } else if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.sent = true;
        }
    }

    /// Sends all waiting requests to a new leader, which knows none of them. A request may reach two
    /// leaders; the job's ID ensures that it takes effect once.
    pub fn leader_up(&mut self, now: Millis) {
        self.has_leader = true;
        self.outages.end(now);
        for waiting in self.waiting.values_mut() {
            (waiting.refused, waiting.resend_at) = (false, None);
            self.outputs.push(Output::Send(waiting.request.clone()));
        }
    }

    /// Handles the loss of the leader.
    pub fn leader_lost(&mut self, now: Millis) {
        if std::mem::take(&mut self.has_leader) {
            self.outages.begin(now);
        }
    }

    /// Handles an answer of a replica.
    pub fn answered(&mut self, reply: JobReply) {
        // A replica that does not lead has done nothing. The request is sent again.
        if reply.outcome() == Outcome::NotLeader {
            if let Some(waiting) = self.waiting.get_mut(&reply.ticket) {
                waiting.refused = true;
            }
            return;
        }
        self.complete(reply.ticket, Answer::Replied(reply));
    }

    /// Completes a request that was not answered.
    fn fail(&mut self, ticket: u64, retry_after_ms: Option<Span>) {
        let Some(waiting) = self.waiting.get(&ticket) else { return };
        let answer = match waiting.not_run() {
            true => Answer::NotRun { retry_after_ms },
            false => Answer::Unknown,
        };
        self.complete(ticket, answer);
    }

    fn complete(&mut self, ticket: u64, answer: Answer) {
        if self.waiting.remove(&ticket).is_none() {
            return;
        }
        // An answered request must not be sent any more.
        let sends =
            |output: &Output| matches!(output, Output::Send(request) if request.ticket == ticket);
        self.outputs.retain(|output| !sends(output));
        self.outputs.push(Output::Answer { ticket, answer });
    }

    /// Returns the time until a leader is expected, in milliseconds; `None` if there is a leader, or the
    /// outage already lasts longer than expected.
    fn retry_after_ms(&self, now: Millis) -> Option<Span> {
        let expected = self.outages.expected_end(now)?;
        Some(expected.since(now).min(MAX_RETRY_AFTER_MS))
    }

    /// Answers requests that have waited too long or wait in vain, and returns the pending actions for the
    /// I/O layer.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let leaderless = |waiting: &Waiting| {
            !self.has_leader && waiting.leader_wait(now, &self.outages).is_none()
        };
        let expired = |waiting: &&Waiting| leaderless(waiting) || now >= waiting.deadline;
        let expired: Vec<u64> =
            self.waiting.values().filter(expired).map(|waiting| waiting.request.ticket).collect();
        let retry_after_ms = self.retry_after_ms(now);
        for ticket in expired {
            self.fail(ticket, retry_after_ms);
        }
        self.resend_refused(now);
        std::mem::take(&mut self.outputs)
    }

    fn resend_refused(&mut self, now: Millis) {
        for waiting in self.waiting.values_mut().filter(|waiting| waiting.refused) {
            let due = *waiting.resend_at.get_or_insert(now + RESEND_DELAY_MS);
            if self.has_leader && now >= due {
                (waiting.refused, waiting.resend_at) = (false, None);
                self.outputs.push(Output::Send(waiting.request.clone()));
            }
        }
    }

    /// Returns when [`Dispatcher::tick`] is next due after its last call, if there is no other input.
    pub fn due(&self, now: Millis) -> Option<Millis> {
        let due = |waiting: &Waiting| {
            let leaderless =
                (!self.has_leader).then(|| waiting.leader_wait(now, &self.outages).unwrap_or(now));
            let soonest = leaderless.map_or(waiting.deadline, |due| due.min(waiting.deadline));
            waiting.resend_at.map_or(soonest, |resend_at| resend_at.min(soonest))
        };
        self.waiting.values().map(due).min()
    }
}
