//! Per-task record of the workers that were lost while running the task.
//!
//! A worker that crashes takes all its runs with it and reports nothing, so any of its runs may be the cause. A
//! task is given up once its losses leave almost no other cause, and in any case after five starts of which none
//! survived. Until then it is a suspect, which is started in isolation from other work. A run that survives or
//! completes clears its task.

use pond_proto::Span;
use pond_proto::job::RunName;
use serde::{Deserialize, Serialize};

/// A run that its worker has survived for this long did not crash the worker at its start, in milliseconds. A
/// shorter window means that fewer other runs start within it next to a culprit, and that a suspect frees its
/// worker sooner.
pub const STARTUP_WINDOW_MS: Span = 100;

/// A loss does not count against a run that the worker had survived for this long, in milliseconds. Losses caused
/// later than this are therefore not bounded, but a task causes at most one of them every ten seconds.
pub const BLAME_WINDOW_MS: Span = 10_000;

/// Longest time for which a suspect keeps other work off its worker, in milliseconds. A culprit that crashes its
/// worker later is still found, but after more losses.
const MAX_ISOLATION_MS: Span = 2_500;

/// Number of conclusive losses after which a task is given up. One of them can be chance: a worker may go down for
/// another reason just after a suspect has started on it.
const CONCLUSIVE_LOSSES: u32 = 2;

/// Total number of losses below which conclusive losses alone do not give up a task.
const MIN_LOSSES_IF_CONCLUSIVE: u32 = 3;

/// Total number of losses below which a task is not given up, however probable it is as their cause.
const MIN_LOSSES: u32 = 2;

/// A task is given up if it crashes its workers with at least this probability, from 0 to 1. Giving up an innocent
/// task costs its caller the whole job and is weighted like the loss of fifty more workers.
const GIVE_UP_PROBABILITY: f64 = 0.98;

/// Number of losses after which a task is given up if one of them was conclusive or if it was the likely cause of
/// most of them, unless its probability speaks against it. Also the number of failed starts after which a task is
/// given up in any case: users tolerate five starts.
const MAX_LOSSES: u32 = 5;

/// If the probability that a task crashes its workers is known, from 0 to 1, neither conclusive losses nor
/// [`MAX_LOSSES`] losses give up the task below this value.
const EVEN_ODDS: f64 = 0.5;

/// Number of losses, out of [`MAX_LOSSES`], of which the task must have been a likely cause.
const LIKELY_LOSSES: u32 = 3;

/// Number of losses after which a task that only ran on the lost workers becomes a suspect, even if other runs had
/// started later each time.
const COLOCATED_LOSSES: u32 = 2;

/// Number of agents that are remembered from the losses of a task; the newest are kept.
const MAX_AGENTS: usize = 4;

/// How a loss counts against a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The task was on the worker but had run for a while; other tasks may be the cause.
    Beside,
    /// The task may be the cause, as may others.
    Suspected,
    /// Nothing else can be the cause, unless the worker went down on its own.
    Proven,
}

/// A loss that counts against the task of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Blame {
    /// The run that was lost.
    pub run: RunName,
    /// How the loss counts.
    pub verdict: Verdict,
    /// How long the worker is known to have survived the run, in milliseconds.
    #[serde(rename = "lived_ms")]
    pub survived_ms: Span,
    /// Probability that the task crashes its workers, given this loss, from 0 to 1; `None` if the loss carries no
    /// information about it. (Entries of earlier versions lack this field.)
    #[serde(default)]
    pub probability: Option<f64>,
}

impl Blame {
    /// The loss of a run that its worker is known to have survived for `survived_ms` milliseconds.
    pub fn new(run: RunName, verdict: Verdict, survived_ms: Span) -> Blame {
        Blame { run, verdict, survived_ms, probability: None }
    }

    /// Sets the probability that the task crashes its workers, given this loss, from 0 to 1.
    pub fn with_probability(mut self, probability: f64) -> Blame {
        self.probability = Some(probability);
        self
    }

    /// Returns whether the run had just begun, or it is unknown for how long it had run.
    pub fn just_begun(&self) -> bool {
        self.survived_ms < STARTUP_WINDOW_MS
    }

    /// Returns whether the loss is reported to operators: the run may have taken the worker down.
    pub fn is_reportable(&self) -> bool {
        let probable = self.probability.is_some_and(|probability| probability >= EVEN_ODDS);
        self.verdict != Verdict::Beside || self.just_begun() || probable
    }
}

/// The losses of a task since it was last cleared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Number of workers lost while they ran the task.
    pub losses: u32,
    /// Number of those losses that the task may have caused, judged by how short a time it had run.
    pub likely: u32,
    /// Number of those losses that nothing else can have caused.
    #[serde(rename = "proven")]
    pub conclusive: u32,
    /// Whether the task may be the cause and is started in isolation from other work.
    pub suspect: bool,
    /// Longest time that a worker is known to have survived the task, in milliseconds.
    #[serde(rename = "lived_ms")]
    pub survived_ms: Span,
    /// The agents of the lost workers, the newest last.
    pub agents: Vec<String>,
    /// Number of losses at which the task had just begun or had run for an unknown time, plus the number of runs
    /// that failed after several losses. (Snapshots of earlier versions lack this field.)
    #[serde(default, rename = "begun")]
    pub failed_starts: u32,
    /// Probability that the task crashes its workers, from 0 to 1; `None` until a loss carries information about
    /// it.
    #[serde(default)]
    pub probability: Option<f64>,
}

impl Suspicion {
    /// Counts the loss of the worker that belongs to `agent`.
    pub fn record_loss(&mut self, blame: &Blame, agent: &str) {
        self.losses += 1;
        self.likely += u32::from(blame.verdict != Verdict::Beside);
        self.conclusive += u32::from(blame.verdict == Verdict::Proven);
        self.failed_starts += u32::from(blame.just_begun());
        self.probability = blame.probability.or(self.probability);
        self.suspect |= blame.verdict != Verdict::Beside || self.losses >= COLOCATED_LOSSES;
        self.survived_ms = self.survived_ms.max(blame.survived_ms);
        self.agents.push(agent.to_owned());
        let excess = self.agents.len().saturating_sub(MAX_AGENTS);
        self.agents.drain(..excess);
    }

    /// Counts a failed run as a failed start if the task already has several losses: the number of starts that
    /// users tolerate is limited.
    pub fn record_failure(&mut self) {
        self.failed_starts += u32::from(self.losses >= MIN_LOSSES_IF_CONCLUSIVE);
    }

    /// Returns whether the task is given up.
    ///
    /// Verdicts rate how likely the task caused each loss, based on what else went down and what was reported. If
    /// nothing is reported, losses could go on indefinitely. The number of starts of which none survived needs no
    /// verdict, so it bounds the starts of a task in every case.
    pub fn is_culprit(&self) -> bool {
        let odds = self.probability.is_none_or(|probability| probability >= EVEN_ODDS);
        let conclusive =
            self.conclusive >= CONCLUSIVE_LOSSES && self.losses >= MIN_LOSSES_IF_CONCLUSIVE;
        let likely = self.conclusive > 0 || self.likely >= LIKELY_LOSSES;
        let certain = self.losses >= MIN_LOSSES
            && self.probability.is_some_and(|probability| probability >= GIVE_UP_PROBABILITY);
        certain
            || (odds && conclusive)
            || (odds && likely && self.losses >= MAX_LOSSES)
            || self.failed_starts >= MAX_LOSSES
    }

    /// Returns whether the task was a likely cause of several losses, or had just begun at several.
    pub fn is_repeat_suspect(&self) -> bool {
        self.likely.max(self.failed_starts) > 1
    }

    /// Returns how long a worker must survive a run to clear the task, in milliseconds.
    pub fn clears_at_ms(&self) -> Span {
        (self.survived_ms * 2 + STARTUP_WINDOW_MS).min(BLAME_WINDOW_MS)
    }

    /// Returns how long a worker must survive a run of the task before other work is started on it, in
    /// milliseconds.
    pub fn isolation_ms(&self) -> Span {
        self.clears_at_ms().min(MAX_ISOLATION_MS)
    }
}
