//! Judges which of the runs on a lost worker may have taken it down.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::cause::{self, Causes, Rate};
use super::ends::LostRun;
use super::plan::DISCOVERY_MS;
use super::{Leader, LossKind, Output, PROPOSAL_RETRY_MS};
use crate::change::Change;
use crate::state::State;
use crate::suspicion::{BLAMED_MS, Blame, SURVIVED_MS, Suspicion, Verdict};

/// Losses of workers that are no further apart than this may have one cause, as a rack or a switch, in
/// milliseconds. Lives that come back after a loss of power register within some two seconds.
const CORRELATED_MS: Span = 2_000;

/// So many others that are lost within that time show such a cause.
const CORRELATED_LOSSES: usize = 2;

/// A run counts as likely the cause whatever else goes down if its task was beside so many losses before: a
/// suspect began apart, so what goes down elsewhere has little to do with it.
const REPEATED_LOSSES: u32 = 2;

/// When workers were lost, as this leader knows it.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// By agent, the last loss of a worker that crashed.
    crashed: BTreeMap<String, Millis>,
    /// By agent, the last such loss that no run there is known to have caused by its start.
    unexplained: BTreeMap<String, Millis>,
    /// Runs that are proposed to clear their tasks, and when they last were.
    clearing: BTreeMap<RunName, Millis>,
    /// How often workers go down by themselves.
    rate: Rate,
}

impl Losses {
    /// When the worker beside an agent last crashed.
    pub fn last_crash(&self, agent: &str) -> Option<Millis> {
        self.crashed.get(agent).copied()
    }

    /// A worker on which nothing ran went down, so by itself.
    pub fn note_idle_loss(&mut self) {
        self.rate.note();
    }

    /// Whether several other workers went down of late for a reason that has nothing to do with their runs.
    fn correlated(&self, now: Millis, agent: &str) -> bool {
        let recently = |(other, at): &(&String, &Millis)| {
            other.as_str() != agent && now.since(**at) < CORRELATED_MS
        };
        self.unexplained.iter().filter(recently).count() >= CORRELATED_LOSSES
    }
}

/// What is known of a lost life, for the judgement of what ran there.
struct Case<'a> {
    kind: LossKind,
    /// The runs that may have caused the loss, with how long the worker had lived on with each; also those of jobs
    /// that have ended since, as by a cancel.
    runs: Vec<(&'a LostRun, Span)>,
    /// Several other workers went down at about the same time.
    correlated: bool,
    /// No others did, and the leader has led for long enough to know.
    uncorrelated: bool,
    /// Those that likely did.
    likely: BTreeSet<RunName>,
    /// Those of them whose tasks had been beside several losses before.
    repeated: BTreeSet<RunName>,
}

impl Case<'_> {
    /// Whether nothing but the likely ones can be the cause. One task of a job is enough to fail it, so those
    /// of one job are as good as one.
    fn is_conclusive(&self) -> bool {
        let jobs: BTreeSet<u64> = self.likely.iter().map(|run| run.task.job).collect();
        let alive_at_start = self
            .runs
            .iter()
            .any(|(lost, _)| lost.alive_at_start && self.likely.contains(&lost.run));
        self.kind == LossKind::Crashed && jobs.len() == 1 && alive_at_start && !self.correlated
    }

    /// Whether a run was lost as its task's earlier runs were: each time just begun, on a worker that crashed.
    fn repeats(&self, run: RunName) -> bool {
        self.kind == LossKind::Crashed && self.repeated.contains(&run)
    }

    /// How the loss counts against a run that had begun just before, or not; none if it does not.
    fn verdict(&self, run: RunName, just_started: bool) -> Option<Verdict> {
        let spontaneous = !self.correlated && self.kind == LossKind::Crashed;
        match self.likely.contains(&run) {
            true if self.is_conclusive() => Some(Verdict::Proven),
            true if spontaneous || self.repeats(run) => Some(Verdict::Suspected),
            // Workers that go down together, or fall silent, say little about what ran there, and nothing
            // about what had worked well.
            _ => (just_started || spontaneous).then_some(Verdict::Beside),
        }
    }
}

impl Leader {
    /// How a loss counts against the tasks of what ran there.
    ///
    /// A run that has just begun is more likely the cause than those that have worked for a while, and one
    /// whose task is a suspect as likely. Where those of a single job are left, nothing else can be the cause,
    /// as nothing is started beside a suspect until it is cleared; unless workers go down by themselves,
    /// which shows where others were lost at the same time.
    pub(super) fn judge(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        kind: LossKind,
        lost: &[LostRun],
    ) -> Vec<Blame> {
        if kind == LossKind::Left {
            return Vec::new();
        }
        let case = self.case(state, now, agent, kind, lost);
        if kind == LossKind::Crashed {
            self.losses.crashed.insert(agent.to_owned(), now);
            let explained = |(lost, survived_ms): &(&LostRun, Span)| {
                lost.reported && just_started(state, lost.run, *survived_ms)
            };
            if !case.runs.iter().any(explained) {
                self.losses.unexplained.insert(agent.to_owned(), now);
                self.losses.rate.note();
            }
        }
        let causes = self.causes(state, now, &case);
        let blame = |(lost, survived_ms): &(&LostRun, Span)| {
            let (run, survived_ms) = (lost.run, *survived_ms);
            let just_started = just_started(state, run, survived_ms);
            let blame = Blame::new(run, case.verdict(run, just_started)?, survived_ms);
            Some(if just_started {
                blame.with_probability(causes.posterior(probability_of(state, run)))
            } else {
                blame
            })
        };
        // Nothing is held against what has ended, but it may be the cause all the same.
        case.runs.iter().filter(|(lost, _)| is_active(state, lost.run)).filter_map(blame).collect()
    }

    /// What may have caused a loss besides each task that had just begun there.
    fn causes(&self, state: &State, now: Millis, case: &Case<'_>) -> Causes {
        let started = || case.runs.iter().filter(|(lost, ms)| just_started(state, lost.run, *ms));
        let attributable = case.uncorrelated
            && case.kind == LossKind::Crashed
            && started().all(|(lost, _)| lost.reported);
        let mut causes = match attributable {
            true => Causes::new(self.spontaneous_probability(state, now, started())),
            false => Causes::unclear(),
        };
        for (lost, _) in started() {
            causes.add(lost.run.task.job, probability_of(state, lost.run));
        }
        causes
    }

    /// The chance that a worker went down by itself in the time in which a task had just begun there.
    fn spontaneous_probability<'a>(
        &self,
        state: &State,
        now: Millis,
        started: impl Iterator<Item = &'a (&'a LostRun, Span)>,
    ) -> f64 {
        let window = |(lost, _): &(&LostRun, Span)| {
            let clears_ms = state.held(lost.run).map(Suspicion::clears_at_ms);
            cause::window_ms(lost.alive_at_start, clears_ms.unwrap_or(SURVIVED_MS))
        };
        let window_ms = started.map(window).max().unwrap_or(SURVIVED_MS);
        self.losses.rate.within(window_ms, self.workers.len(), now.since(self.leading_since))
    }

    /// What is known of a lost life.
    ///
    /// Of a worker whose agent went down with it nothing is told. Where that happens to one after the other, as
    /// when all power is lost, to take all that had its place there for suspects would keep a whole fleet from
    /// work until each had begun apart.
    fn case<'a>(
        &self,
        state: &State,
        now: Millis,
        agent: &str,
        kind: LossKind,
        lost: &'a [LostRun],
    ) -> Case<'a> {
        let survived =
            |lost: &'a LostRun| Some((lost, lost.survived_ms.filter(|ms| *ms < BLAMED_MS)?));
        let unfinished = |lost: &&LostRun| !is_done(state, lost.run);
        let runs: Vec<(&LostRun, Span)> =
            lost.iter().filter(unfinished).filter_map(survived).collect();
        let correlated = self.losses.correlated(now, agent);
        // A leader that has just come to lead may be so because everything lost its power.
        let uncorrelated = !correlated && now.since(self.leading_since) >= DISCOVERY_MS;
        let likely = |(lost, survived_ms): &&(&LostRun, Span)| {
            (lost.reported || uncorrelated) && just_started(state, lost.run, *survived_ms)
        };
        let likely: BTreeSet<RunName> =
            runs.iter().filter(likely).map(|(lost, _)| lost.run).collect();
        let losses = |run: &RunName| state.held(*run).map_or(0, |before| before.losses);
        let repeated =
            likely.iter().filter(|run| losses(run) >= REPEATED_LOSSES).copied().collect();
        Case { kind, runs, correlated, uncorrelated, likely, repeated }
    }

    /// Proposes to clear tasks whose runs have lived on for long enough.
    pub(super) fn clear_survivors(&mut self, state: &State, now: Millis, report: &Report) {
        let clearing = &mut self.losses.clearing;
        let due =
            |run: RunName| clearing.get(&run).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY_MS);
        let survived = report.runs.iter().filter(|row| {
            let suspicion = state.suspicion(row.run);
            suspicion.is_some_and(|suspicion| u64::from(row.lived_ms) >= suspicion.clears_at_ms())
        });
        let runs: Vec<RunName> = survived.map(|row| row.run).filter(|run| due(*run)).collect();
        if runs.is_empty() {
            return;
        }
        clearing.extend(runs.iter().map(|run| (*run, now)));
        self.outputs.push(Output::Propose(Change::Cleared(runs)));
    }

    /// Forgets which runs were proposed to clear their tasks and are over or have.
    pub(super) fn forget_cleared(&mut self, state: &State) {
        self.losses.clearing.retain(|run, _| state.suspicion(*run).is_some());
    }
}

/// Whether the task of a run is done.
fn is_done(state: &State, run: RunName) -> bool {
    let task = state.job(run.task.job).and_then(|job| job.task(run.task));
    task.is_none_or(|task| task.done)
}

/// Whether the job of a run goes on.
fn is_active(state: &State, run: RunName) -> bool {
    state.job(run.task.job).is_some_and(|job| !job.phase.ended())
}

/// How likely the task of a run takes down its workers, as far as its losses tell.
fn probability_of(state: &State, run: RunName) -> Option<f64> {
    state.held(run)?.probability
}

/// Whether a run with which its worker had lived on for so long may have taken it down: it had just begun, or
/// has not cleared its task yet.
fn just_started(state: &State, run: RunName, survived_ms: Span) -> bool {
    let suspicion = state.held(run).filter(|suspicion| suspicion.suspect);
    let uncleared = suspicion.is_some_and(|suspicion| survived_ms < suspicion.clears_at_ms());
    survived_ms < SURVIVED_MS || uncleared
}
