//! What is remembered of the workers that were lost under a task, for as long as the task lives.
//!
//! A worker that crashes takes all its runs along and tells nothing, so whoever ran there may be the cause.
//! A task is given up once its losses leave next to no other cause, and after five starts in which it never lived
//! on, whatever is known of them; until then it is a suspect, which is started apart from other work. A run
//! that lives on or is done clears its task.

use pond_proto::Span;
use pond_proto::job::RunName;
use serde::{Deserialize, Serialize};

/// A run with which its worker has lived on for this long did not take it down at its start, in
/// milliseconds. The shorter it is, the fewer begin within it beside a culprit, and the sooner a suspect frees its
/// worker.
pub const STARTUP_WINDOW_MS: Span = 100;

/// A loss says nothing about a run with which the worker has lived on for this long, in milliseconds. So
/// tasks that take down their workers later than this are not bounded: each such loss comes at most
/// every ten seconds.
pub const BLAME_WINDOW_MS: Span = 10_000;

/// A suspect keeps a worker from other work for this long at most, in milliseconds. What takes its worker down
/// later is found out all the same, but by more losses.
const MAX_ISOLATION_MS: Span = 2_500;

/// So many losses at which nothing else can have been the cause, and a task is given up. A single one can
/// be chance: whatever ends workers by itself may strike one while a suspect has just begun there.
const CONCLUSIVE_LOSSES: u32 = 2;

/// A task is given up for two proofs only with so many losses in all.
const MIN_LOSSES_IF_CONCLUSIVE: u32 = 3;

/// A task is given up for no fewer losses, however likely it is.
const MIN_LOSSES: u32 = 2;

/// A task is given up that takes down its workers this likely, from 0 to 1: a bystander that is given up, which costs
/// its caller the whole job, is taken for as bad as fifty workers more that go down.
const GIVE_UP_PROBABILITY: f64 = 0.98;

/// With so many losses a task is given up for one proof, or if it was likely the cause of most of them, unless their odds
/// say otherwise; or if it had just begun at each: users bear five starts.
const MAX_LOSSES: u32 = 5;

/// Where the losses tell how likely it takes down its workers, a task is given up by their number only if it is more
/// likely than not, from 0 to 1.
const EVEN_ODDS: f64 = 0.5;

/// So many of these losses it must have caused as likely as anything else.
const LIKELY_LOSSES: u32 = 3;

/// A task that was beside so many losses is a suspect, though others had begun later each time.
const COLOCATED_LOSSES: u32 = 2;

/// Agents that are remembered of a task's losses, the newest.
const MAX_AGENTS: usize = 4;

/// How a loss counts against a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was there, but had worked for a while; others may be the cause.
    Beside,
    /// It may be the cause, as may others.
    Suspected,
    /// Nothing else can be the cause, unless the worker went down by itself.
    Proven,
}

/// A loss that counts against the task of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Blame {
    /// The run that was lost.
    pub run: RunName,
    /// How it counts.
    pub verdict: Verdict,
    /// For how long the worker was known to have lived on with the run, in milliseconds.
    #[serde(rename = "lived_ms")]
    pub survived_ms: Span,
    /// How likely the task takes down its workers, with this loss, from 0 to 1; none if the loss tells nothing of
    /// it. (Entries of earlier versions have none.)
    #[serde(default)]
    pub probability: Option<f64>,
}

impl Blame {
    /// The loss of a run with which its worker had lived on for so long, in milliseconds.
    pub fn new(run: RunName, verdict: Verdict, survived_ms: Span) -> Blame {
        Blame { run, verdict, survived_ms, probability: None }
    }

    /// With this loss the task takes down its workers so likely, from 0 to 1.
    pub fn with_probability(mut self, probability: f64) -> Blame {
        self.probability = Some(probability);
        self
    }

    /// Whether the run had just begun, or nothing is known of how long it had lived.
    pub fn just_begun(&self) -> bool {
        self.survived_ms < STARTUP_WINDOW_MS
    }

    /// Whether operators should know of it: the run may have taken the worker down.
    pub fn is_reportable(&self) -> bool {
        self.verdict != Verdict::Beside || self.just_begun()
    }
}

/// The losses of a task since it was last cleared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspicion {
    /// How many workers were lost under it.
    pub losses: u32,
    /// How many of them it may have caused, by how little it had lived.
    pub likely: u32,
    /// At how many of them nothing else can have been the cause.
    #[serde(rename = "proven")]
    pub conclusive: u32,
    /// It may be the cause, and is started apart from other work.
    pub suspect: bool,
    /// The longest that a worker was known to have lived on with it, in milliseconds.
    #[serde(rename = "lived_ms")]
    pub survived_ms: Span,
    /// The agents beside the workers that were lost, the newest last.
    pub agents: Vec<String>,
    /// At how many of the losses it had just begun, or nothing is known of how long it had lived; and how many
    /// runs failed after several losses. (Snapshots of earlier versions have none.)
    #[serde(default, rename = "begun")]
    pub failed_starts: u32,
    /// How likely it takes down its workers, from 0 to 1; none before a loss told of it.
    #[serde(default)]
    pub probability: Option<f64>,
}

impl Suspicion {
    /// One more worker is lost, beside that agent.
    pub fn record_loss(&mut self, blame: &Blame, agent: &str) {
        self.losses += 1;
        self.likely += u32::from(blame.verdict != Verdict::Beside);
        self.conclusive += u32::from(blame.verdict == Verdict::Proven);
        self.failed_starts += u32::from(blame.just_begun());
        self.probability = blame.probability.or(self.probability);
        self.suspect |= blame.verdict != Verdict::Beside || self.losses >= COLOCATED_LOSSES;
        self.survived_ms = self.survived_ms.max(blame.survived_ms);
        self.agents.push(agent.to_owned());
        let more = self.agents.len().saturating_sub(MAX_AGENTS);
        self.agents.drain(..more);
    }

    /// A run of it ended as failed: one more start in which it did not live on, once users only bear so many.
    pub fn record_failure(&mut self) {
        self.failed_starts += u32::from(self.losses >= MIN_LOSSES_IF_CONCLUSIVE);
    }

    /// Whether the task is given up.
    ///
    /// Verdicts say how likely it caused each loss, by what else went down and by what was told, and a history in
    /// which nothing is told may go on for ever. That it never once lived on through so many starts needs no
    /// verdict: this is what bounds its starts on any history.
    pub fn is_culprit(&self) -> bool {
        let conclusive =
            self.conclusive >= CONCLUSIVE_LOSSES && self.losses >= MIN_LOSSES_IF_CONCLUSIVE;
        let odds = self.probability.is_none_or(|probability| probability >= EVEN_ODDS);
        let likely = odds && (self.conclusive > 0 || self.likely >= LIKELY_LOSSES);
        let certain = self.losses >= MIN_LOSSES
            && self.probability.is_some_and(|probability| probability >= GIVE_UP_PROBABILITY);
        certain
            || conclusive
            || (self.losses >= MAX_LOSSES && likely)
            || self.failed_starts >= MAX_LOSSES
    }

    /// Whether it was the likely cause of several losses, or had just begun at several.
    pub fn is_repeat_suspect(&self) -> bool {
        self.likely.max(self.failed_starts) > 1
    }

    /// A run that has lived on for this long clears the task, in milliseconds.
    pub fn clears_at_ms(&self) -> Span {
        (self.survived_ms * 2 + STARTUP_WINDOW_MS).min(BLAME_WINDOW_MS)
    }

    /// Nothing else is started beside a run of it until the worker has lived on with the run for this long,
    /// in milliseconds.
    pub fn isolation_ms(&self) -> Span {
        self.clears_at_ms().min(MAX_ISOLATION_MS)
    }
}
