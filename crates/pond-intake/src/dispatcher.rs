//! Requests that wait for the leader.

use std::collections::BTreeMap;

use pond_proto::fleet::{Ask, Outcome, Target, Tell, Verb};
use pond_proto::{Millis, Span};

/// How long after the leader was lost requests still wait for the next one, in milliseconds: about
/// an election. Later ones are answer up at once, as longer waits would cost callers more than coming
/// back.
const LEADERLESS_MS: Span = 600;

/// Time before a request that the leader refused is sent again, in milliseconds: its lease on the lead
/// may have lapsed for a moment, which a heartbeat mends.
const AGAIN_MS: Span = 50;

/// Requests that may wait; more are answer up at once, as control is overloaded: answers take
/// milliseconds, so even one election at a thousand requests a second leaves fewer.
const WAITING: usize = 2_000;

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Control's answer.
    Replied(Tell),
    /// Surely nothing happened, and nothing will.
    NotRun,
    /// It may have happened, or may still.
    Unknown,
}

/// What the shell does for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to the leader.
    Send(Ask),
    /// Answer the caller with that ticket.
    Answer {
        /// The request's.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    ask: Ask,
    /// It was sent to a replica that may have proposed it.
    sent: bool,
    until: Millis,
    /// The leader refused it, as it could not be sure of its lead.
    refused: bool,
    /// When it is sent again.
    again: Option<Millis>,
}

/// All requests that wait, by their tickets.
#[derive(Debug, Default)]
pub struct Dispatcher {
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
    leads: bool,
    /// When the leader was lost.
    lost: Millis,
    outputs: Vec<Output>,
}

impl Dispatcher {
    /// No requests yet.
    pub fn new() -> Dispatcher {
        Dispatcher::default()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes in a request that may take `timeout_ms`; its ticket.
    pub fn request(&mut self, now: Millis, target: Target, verb: Verb, timeout_ms: Span) -> u64 {
        self.next += 1;
        let ticket = self.next;
        if self.waiting.len() >= WAITING {
            self.outputs.push(Output::Answer { ticket, answer: Answer::NotRun });
            return ticket;
        }
        let ask = Ask { ticket, target, verb: Some(verb) };
        if self.leads {
            self.outputs.push(Output::Send(ask.clone()));
        }
        let until = now + timeout_ms;
        self.waiting
            .insert(ticket, Waiting { ask, sent: false, until, refused: false, again: None });
        ticket
    }

    /// A request was put on the link, or could not be.
    pub fn sent(&mut self, ticket: u64, sent: bool) {
        if !sent {
            self.answer(ticket, Answer::Unknown);
        } else if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.sent = true;
        }
    }

    /// There is a leader that knows nothing of these requests. The same request may reach two
    /// leaders; it stays one by its job's id.
    pub fn leader_up(&mut self) {
        self.leads = true;
        for waiting in self.waiting.values_mut() {
            (waiting.refused, waiting.again) = (false, None);
            self.outputs.push(Output::Send(waiting.ask.clone()));
        }
    }

    /// There is no leader.
    pub fn leader_lost(&mut self, now: Millis) {
        if std::mem::take(&mut self.leads) {
            self.lost = now;
        }
    }

    /// The leader answers.
    pub fn tell(&mut self, tell: Tell) {
        // A replica that does not lead did nothing. It or the next leader is asked again.
        if tell.outcome() == Outcome::NotLeader {
            if let Some(waiting) = self.waiting.get_mut(&tell.ticket) {
                waiting.refused = true;
            }
            return;
        }
        self.answer(tell.ticket, Answer::Replied(tell));
    }

    fn answer(&mut self, ticket: u64, answer: Answer) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        // What is answered must not be sent any more.
        let sends = |output: &Output| matches!(output, Output::Send(ask) if ask.ticket == ticket);
        self.outputs.retain(|output| !sends(output));
        // Only looking changes nothing, wherever it was sent.
        let harmless = matches!(waiting.ask.verb, Some(Verb::Look(_) | Verb::Count(_)));
        let answer = match answer {
            Answer::Unknown if harmless || !waiting.sent => Answer::NotRun,
            answer => answer,
        };
        self.outputs.push(Output::Answer { ticket, answer });
    }

    /// Gives up what has waited too long, and hands out what the shell must do.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let leaderless = !self.leads && now.since(self.lost) >= LEADERLESS_MS;
        let over = |waiting: &&Waiting| leaderless || now >= waiting.until;
        let over: Vec<u64> =
            self.waiting.values().filter(over).map(|waiting| waiting.ask.ticket).collect();
        for ticket in over {
            self.answer(ticket, Answer::Unknown);
        }
        self.send_refused_again(now);
        std::mem::take(&mut self.outputs)
    }

    fn send_refused_again(&mut self, now: Millis) {
        for waiting in self.waiting.values_mut().filter(|waiting| waiting.refused) {
            let due = *waiting.again.get_or_insert(now + AGAIN_MS);
            if self.leads && now >= due {
                (waiting.refused, waiting.again) = (false, None);
                self.outputs.push(Output::Send(waiting.ask.clone()));
            }
        }
    }

    /// When something is due without any further input.
    pub fn due(&self) -> Option<Millis> {
        let due = |waiting: &Waiting| {
            let leaderless = (!self.leads).then_some(self.lost + LEADERLESS_MS);
            let soonest = leaderless.map_or(waiting.until, |due| due.min(waiting.until));
            waiting.again.map_or(soonest, |again| again.min(soonest))
        };
        self.waiting.values().map(due).min()
    }
}
