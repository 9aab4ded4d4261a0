//! Judges which of the runs on a lost worker may have taken it down.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::cause::{self, Causes, Rate};
use super::ends::Last;
use super::plan::KNOWN_MS;
use super::{Leader, LossKind, Output, PROPOSE_AGAIN_MS};
use crate::change::Change;
use crate::state::State;
use crate::suspicion::{BLAMED_MS, Blame, SURVIVED_MS, Suspicion, Verdict};

/// Losses of workers that are no further apart than this may have one cause, as a rack or a switch, in
/// milliseconds. Lives that come back after a loss of power register within some two seconds.
const TOGETHER_MS: Span = 2_000;

/// So many others that are lost within that time show such a cause.
const TOGETHER: usize = 2;

/// A run counts as likely the cause whatever else goes down if its task was beside so many losses before: a
/// suspect began apart, so what goes down elsewhere has little to do with it.
const REPEATED: u32 = 2;

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
    pub fn crashed(&self, agent: &str) -> Option<Millis> {
        self.crashed.get(agent).copied()
    }

    /// A worker on which nothing ran went down, so by itself.
    pub fn note_idle(&mut self) {
        self.rate.note();
    }

    /// Whether several other workers went down of late for a reason that has nothing to do with their runs.
    fn others(&self, now: Millis, agent: &str) -> bool {
        let lately = |(other, at): &(&String, &Millis)| {
            other.as_str() != agent && now.since(**at) < TOGETHER_MS
        };
        self.unexplained.iter().filter(lately).count() >= TOGETHER
    }
}

/// What is known of a lost life, for the judgement of what ran there.
struct Case<'a> {
    why: LossKind,
    /// The runs that may have caused the loss, with how long the worker had lived on with each; also those of jobs
    /// that have ended since, as by a cancel.
    there: Vec<(&'a Last, Span)>,
    /// Several other workers went down at about the same time.
    together: bool,
    /// No others did, and the leader has led for long enough to know.
    alone: bool,
    /// Those that likely did.
    likely: BTreeSet<RunName>,
    /// Those of them whose tasks had been beside several losses before.
    repeated: BTreeSet<RunName>,
}

impl Case<'_> {
    /// Whether nothing but the likely ones can be the cause. One task of a job is enough to fail it, so those
    /// of one job are as good as one.
    fn proves(&self) -> bool {
        let jobs: BTreeSet<u64> = self.likely.iter().map(|run| run.task.job).collect();
        let met = self.there.iter().any(|(last, _)| last.met && self.likely.contains(&last.run));
        self.why == LossKind::Crashed && jobs.len() == 1 && met && !self.together
    }

    /// Whether a run was lost as its task's earlier runs were: each time just begun, on a worker that crashed.
    fn repeats(&self, run: RunName) -> bool {
        self.why == LossKind::Crashed && self.repeated.contains(&run)
    }

    /// How the loss counts against a run that had begun just before, or not; none if it does not.
    fn verdict(&self, run: RunName, begun: bool) -> Option<Verdict> {
        let by_itself = !self.together && self.why == LossKind::Crashed;
        match self.likely.contains(&run) {
            true if self.proves() => Some(Verdict::Proven),
            true if by_itself || self.repeats(run) => Some(Verdict::Suspected),
            // Workers that go down together, or fall silent, say little about what ran there, and nothing
            // about what had worked well.
            _ => (begun || by_itself).then_some(Verdict::Beside),
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
        why: LossKind,
        last: &[Last],
    ) -> Vec<Blame> {
        if why == LossKind::Left {
            return Vec::new();
        }
        let case = self.case(state, now, agent, why, last);
        if why == LossKind::Crashed {
            self.losses.crashed.insert(agent.to_owned(), now);
            let explained = |(last, lived_ms): &(&Last, Span)| {
                last.told && just_begun(state, last.run, *lived_ms)
            };
            if !case.there.iter().any(explained) {
                self.losses.unexplained.insert(agent.to_owned(), now);
                self.losses.rate.note();
            }
        }
        let causes = self.causes(state, now, &case);
        let blame = |(last, lived_ms): &(&Last, Span)| {
            let (run, lived_ms) = (last.run, *lived_ms);
            let begun = just_begun(state, run, lived_ms);
            let blame = Blame::new(run, case.verdict(run, begun)?, lived_ms);
            Some(if begun {
                blame.with_probability(causes.after(probability_of(state, run)))
            } else {
                blame
            })
        };
        // Nothing is held against what has ended, but it may be the cause all the same.
        case.there.iter().filter(|(last, _)| goes_on(state, last.run)).filter_map(blame).collect()
    }

    /// What may have caused a loss besides each task that had just begun there.
    fn causes(&self, state: &State, now: Millis, case: &Case<'_>) -> Causes {
        let begun = || case.there.iter().filter(|(last, ms)| just_begun(state, last.run, *ms));
        let clear =
            case.alone && case.why == LossKind::Crashed && begun().all(|(last, _)| last.told);
        let mut causes = match clear {
            true => Causes::new(self.by_itself(state, now, begun())),
            false => Causes::unclear(),
        };
        for (last, _) in begun() {
            causes.add(last.run.task.job, probability_of(state, last.run));
        }
        causes
    }

    /// The chance that a worker went down by itself in the time in which a task had just begun there.
    fn by_itself<'a>(
        &self,
        state: &State,
        now: Millis,
        begun: impl Iterator<Item = &'a (&'a Last, Span)>,
    ) -> f64 {
        let window = |(last, _): &(&Last, Span)| {
            let clears_ms = state.held(last.run).map(Suspicion::clears_at_ms);
            cause::window_ms(last.met, clears_ms.unwrap_or(SURVIVED_MS))
        };
        let window_ms = begun.map(window).max().unwrap_or(SURVIVED_MS);
        self.losses.rate.within(window_ms, self.workers.len(), now.since(self.since))
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
        why: LossKind,
        last: &'a [Last],
    ) -> Case<'a> {
        let lived = |last: &'a Last| Some((last, last.lived_ms.filter(|ms| *ms < BLAMED_MS)?));
        let open = |last: &&Last| !is_done(state, last.run);
        let there: Vec<(&Last, Span)> = last.iter().filter(open).filter_map(lived).collect();
        let together = self.losses.others(now, agent);
        // A leader that has just come to lead may be so because everything lost its power.
        let alone = !together && now.since(self.since) >= KNOWN_MS;
        let likely = |(last, lived_ms): &&(&Last, Span)| {
            (last.told || alone) && just_begun(state, last.run, *lived_ms)
        };
        let likely: BTreeSet<RunName> =
            there.iter().filter(likely).map(|(last, _)| last.run).collect();
        let losses = |run: &RunName| state.held(*run).map_or(0, |before| before.losses);
        let repeated = likely.iter().filter(|run| losses(run) >= REPEATED).copied().collect();
        Case { why, there, together, alone, likely, repeated }
    }

    /// Proposes to clear tasks whose runs have lived on for long enough.
    pub(super) fn clear_survivors(&mut self, state: &State, now: Millis, report: &Report) {
        let clearing = &mut self.losses.clearing;
        let due =
            |run: RunName| clearing.get(&run).is_none_or(|at| now.since(*at) >= PROPOSE_AGAIN_MS);
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
fn goes_on(state: &State, run: RunName) -> bool {
    state.job(run.task.job).is_some_and(|job| !job.phase.ended())
}

/// How likely the task of a run takes down its workers, as far as its losses tell.
fn probability_of(state: &State, run: RunName) -> Option<f64> {
    state.held(run)?.probability
}

/// Whether a run with which its worker had lived on for so long may have taken it down: it had just begun, or
/// has not cleared its task yet.
fn just_begun(state: &State, run: RunName, lived_ms: Span) -> bool {
    let suspicion = state.held(run).filter(|suspicion| suspicion.suspect);
    let uncleared = suspicion.is_some_and(|suspicion| lived_ms < suspicion.clears_at_ms());
    lived_ms < SURVIVED_MS || uncleared
}
