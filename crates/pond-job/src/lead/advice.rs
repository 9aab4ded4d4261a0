//! What an outside adviser says of which workers may run a step.
//!
//! Some queues have a policy that only the adviser knows. For each step it names workers that may
//! run it, with a ticket that the worker wants to see for as long as this life of it lasts. Which
//! workers may run a step never changes; tickets run out.

use std::collections::BTreeMap;
use std::fmt;

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use crate::configuration::Advice;

/// Workers named in one question. The adviser takes some time for each, and the aim of a job allows
/// for a question about thirty.
const MAX_WORKERS_PER_QUESTION: usize = 30;

/// A question without an answer is asked again after this time, in milliseconds: an adviser that is
/// asked too often answers nobody.
const RETRY_MS: Span = 500;

/// A ticket is not used in the last part of its time: this share of it, as the start must still
/// reach the worker.
const TICKET_MARGIN_DIVISOR: Span = 4;

/// A step at one time of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// The job.
    pub job: u64,
    /// Which of its times, from zero.
    pub time: u32,
    /// Which of its steps, from zero.
    pub step: u32,
}

impl From<TaskName> for StepName {
    fn from(task: TaskName) -> StepName {
        StepName { job: task.job, time: task.time, step: task.step }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepName { job, time, step } = self;
        write!(f, "{job:016x}.{time}.{step}")
    }
}

/// A question to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// The step that should run.
    pub step: StepName,
    /// Lives of workers that have room for it.
    pub workers: Vec<String>,
    /// How long the adviser takes.
    pub advice: Advice,
}

/// The adviser allows a worker to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The life of the worker.
    pub worker: String,
    /// What the worker wants to see.
    pub ticket: String,
}

/// What is known of one worker for one step.
#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    Denied,
    Allowed { ticket: String, until: Millis },
}

/// The adviser's answers so far.
#[derive(Debug, Default)]
pub struct Adviser {
    verdicts: BTreeMap<StepName, BTreeMap<String, Verdict>>,
    /// The question on its way.
    pending: Option<StepName>,
    /// No question before this time.
    retry_at: Millis,
}

impl Adviser {
    /// The ticket with which a worker may run a step now.
    pub fn ticket(&self, now: Millis, step: StepName, worker: &str) -> Option<&str> {
        match self.verdicts.get(&step)?.get(worker)? {
            Verdict::Allowed { ticket, until } if now < *until => Some(ticket),
            _ => None,
        }
    }

    /// Whether the adviser can say something new about a worker.
    fn needs_answer(&self, now: Millis, step: StepName, worker: &str) -> bool {
        let verdict = self.verdicts.get(&step).and_then(|verdicts| verdicts.get(worker));
        match verdict {
            None => true,
            Some(Verdict::Denied) => false,
            Some(Verdict::Allowed { until, .. }) => now >= *until,
        }
    }

    /// A worker did not start a run, perhaps for its ticket: the adviser is asked about it again.
    pub fn invalidate(&mut self, run: RunName, worker: &str) {
        if let Some(verdicts) = self.verdicts.get_mut(&run.task.into()) {
            verdicts.remove(worker);
        }
    }

    /// The next question about these workers, if one is due.
    pub fn question(
        &mut self,
        now: Millis,
        step: StepName,
        workers: impl Iterator<Item = String>,
        advice: Advice,
    ) -> Option<Question> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let needs_answer = workers.filter(|worker| self.needs_answer(now, step, worker));
        let workers: Vec<String> = needs_answer.take(MAX_WORKERS_PER_QUESTION).collect();
        if workers.is_empty() {
            return None;
        }
        self.pending = Some(step);
        Some(Question { step, workers, advice })
    }

    /// The adviser answered a question, or did not.
    pub fn answer(&mut self, now: Millis, question: &Question, permits: Option<Vec<Permit>>) {
        self.pending = None;
        let Some(permits) = permits else {
            self.retry_at = now + RETRY_MS;
            return;
        };
        if question.advice.valid_ms == 0 {
            // No ticket is ever good, so each answer would call for the next question at once.
            self.retry_at = now + RETRY_MS;
        }
        let valid_ms = question.advice.valid_ms - question.advice.valid_ms / TICKET_MARGIN_DIVISOR;
        let verdicts = self.verdicts.entry(question.step).or_default();
        for worker in &question.workers {
            verdicts.insert(worker.clone(), Verdict::Denied);
        }
        for permit in permits {
            let until = now + valid_ms;
            verdicts.insert(permit.worker, Verdict::Allowed { ticket: permit.ticket, until });
        }
    }

    /// Drops the answers about jobs that are over.
    pub fn forget(&mut self, ended: impl Fn(u64) -> bool) {
        self.verdicts.retain(|step, _| !ended(step.job));
    }
}
