//! Answers of an external adviser on which workers may run a step.
//!
//! Some queues have a policy that only the adviser knows. For each step it names workers that may
//! run it, each with a ticket that the worker requires and that is valid only for this incarnation.
//! Which workers may run a step never changes, but tickets expire.

use std::collections::BTreeMap;
use std::fmt;

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use crate::configuration::Advice;

/// Maximum number of workers in one question. The adviser takes some time for each, and the target
/// of a job leaves time for a question about thirty workers.
const MAX_WORKERS_PER_QUESTION: usize = 30;

/// Delay before an unanswered question is asked again, in milliseconds. An adviser that is asked
/// too often answers nobody.
const RETRY_MS: Span = 500;

/// A ticket is not used in the last part of its validity, this fraction of it, because the start
/// must still reach the worker.
const TICKET_MARGIN_DIVISOR: Span = 4;

/// A step in one repetition of a job. A repeated job has several repetitions, any other job has
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// The job.
    pub job: u64,
    /// Index of the repetition of the job.
    pub repetition: u32,
    /// Index of the step.
    pub step: u32,
}

impl From<TaskName> for StepName {
    fn from(task: TaskName) -> StepName {
        StepName { job: task.job, repetition: task.repetition, step: task.step }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepName { job, repetition, step } = self;
        write!(f, "{job:016x}.{repetition}.{step}")
    }
}

/// A question to the adviser.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// The step to run.
    pub step: StepName,
    /// Incarnations of workers that have capacity for it.
    pub workers: Vec<String>,
    /// Timing of the adviser's answers.
    pub advice: Advice,
}

/// Permission of the adviser for a worker to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Incarnation of the worker.
    pub worker: String,
    /// Ticket that the worker requires.
    pub ticket: String,
}

/// The adviser's answer for one worker and step.
#[derive(Clone, Debug, PartialEq)]
enum Verdict {
    Denied,
    Allowed { ticket: String, until: Millis },
}

/// The adviser's answers so far.
#[derive(Debug, Default)]
pub struct Adviser {
    verdicts: BTreeMap<StepName, BTreeMap<String, Verdict>>,
    /// The step of the pending question.
    pending: Option<StepName>,
    /// Time before which no question is asked.
    retry_at: Millis,
}

impl Adviser {
    /// Returns the ticket with which a worker may run a step now.
    pub fn ticket(&self, now: Millis, step: StepName, worker: &str) -> Option<&str> {
        match self.verdicts.get(&step)?.get(worker)? {
            Verdict::Allowed { ticket, until } if now < *until => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether the adviser can say anything new about a worker.
    fn needs_answer(&self, now: Millis, step: StepName, worker: &str) -> bool {
        let verdict = self.verdicts.get(&step).and_then(|verdicts| verdicts.get(worker));
        match verdict {
            None => true,
            Some(Verdict::Denied) => false,
            Some(Verdict::Allowed { until, .. }) => now >= *until,
        }
    }

    /// Drops the answer for a worker that did not start a run, perhaps because of its ticket, so
    /// that the adviser is asked again.
    pub fn invalidate(&mut self, run: RunName, worker: &str) {
        if let Some(verdicts) = self.verdicts.get_mut(&run.task.into()) {
            verdicts.remove(worker);
        }
    }

    /// Returns whether a question may be asked now.
    pub fn is_free(&self, now: Millis) -> bool {
        self.pending.is_none() && now >= self.retry_at
    }

    /// Returns the next question about these workers, if one is due.
    pub fn question(
        &mut self,
        now: Millis,
        step: StepName,
        workers: impl Iterator<Item = String>,
        advice: Advice,
    ) -> Option<Question> {
        if !self.is_free(now) {
            return None;
        }
        let askable = workers.filter(|worker| self.needs_answer(now, step, worker));
        let workers: Vec<String> = askable.take(MAX_WORKERS_PER_QUESTION).collect();
        if workers.is_empty() {
            return None;
        }
        self.pending = Some(step);
        Some(Question { step, workers, advice })
    }

    /// Handles the answer to a question; `None` if the adviser did not answer.
    pub fn answer(&mut self, now: Millis, question: &Question, permits: Option<Vec<Permit>>) {
        self.pending = None;
        let Some(permits) = permits else {
            self.retry_at = now + RETRY_MS;
            return;
        };
        if question.advice.valid_ms == 0 {
            // No ticket is ever valid, so each answer would lead to the next question immediately.
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

    /// Drops the answers for ended jobs.
    pub fn forget(&mut self, ended: impl Fn(u64) -> bool) {
        self.verdicts.retain(|step, _| !ended(step.job));
    }
}
