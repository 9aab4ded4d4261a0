//! Judges which of the runs on a lost worker may have taken it down.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::ends::Last;
use super::{Leader, Lost, Output, PROPOSE_AGAIN_MS};
use crate::change::Change;
use crate::state::State;
use crate::suspicion::{BLAMED_MS, Blame, SURVIVED_MS, Verdict};

/// Losses of workers that are no further apart than this may have one cause, as a rack or a switch, in
/// milliseconds. Lives that come back after a loss of power register within some two seconds.
const TOGETHER_MS: Span = 2_000;

/// So many others that are lost within that time show such a cause.
const TOGETHER: usize = 2;

/// When workers were lost, as this leader knows it.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// By agent, the last loss of a worker that crashed.
    crashed: BTreeMap<String, Millis>,
    /// By agent, the last such loss that no run there can have caused by its start.
    unexplained: BTreeMap<String, Millis>,
    /// Runs that are proposed to clear their tasks, and when they last were.
    clearing: BTreeMap<RunName, Millis>,
}

impl Losses {
    /// When the worker beside an agent last crashed.
    pub fn crashed(&self, agent: &str) -> Option<Millis> {
        self.crashed.get(agent).copied()
    }

    /// Whether several other workers went down of late for a reason that has nothing to do with their runs.
    fn others(&self, now: Millis, agent: &str) -> bool {
        let lately = |(other, at): &(&String, &Millis)| {
            other.as_str() != agent && now.since(**at) < TOGETHER_MS
        };
        self.unexplained.iter().filter(lately).count() >= TOGETHER
    }
}

impl Leader {
    /// How a loss counts against the tasks of what ran there.
    ///
    /// A run that has just begun is more likely the cause than those that have worked for a while, and one
    /// whose task is a suspect as likely. Where those of a single job are left, nothing else can be the cause, as
    /// nothing is started beside a suspect until it is cleared; unless workers go down by themselves,
    /// which shows where others were lost at the same time.
    pub(super) fn judge(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        why: Lost,
        last: &[Last],
    ) -> Vec<Blame> {
        if why == Lost::Left {
            return Vec::new();
        }
        let counts = |last: &&Last| {
            let job = state.job(last.run.task.job).filter(|job| !job.phase.ended());
            job.and_then(|job| job.task(last.run.task)).is_some_and(|task| !task.done)
        };
        let lived = |last: &Last| Some((last.run, last.lived_ms.filter(|ms| *ms < BLAMED_MS)?));
        let there: Vec<(RunName, Span)> = last.iter().filter(counts).filter_map(lived).collect();
        let likely: BTreeSet<RunName> = there
            .iter()
            .filter(|(run, lived_ms)| *lived_ms < SURVIVED_MS || on_trial(state, *run, *lived_ms))
            .map(|(run, _)| *run)
            .collect();
        let together = self.losses.others(now, agent);
        if why == Lost::Crashed {
            self.losses.crashed.insert(agent.to_owned(), now);
            if likely.is_empty() {
                self.losses.unexplained.insert(agent.to_owned(), now);
            }
        }
        // One task of a job is enough to fail it, so those of one job are as good as one.
        let jobs: BTreeSet<u64> = likely.iter().map(|run| run.task.job).collect();
        let met = last.iter().any(|last| last.met && likely.contains(&last.run));
        let proven = why == Lost::Crashed && jobs.len() == 1 && met && !together;
        let blame = |(run, lived_ms): (RunName, Span)| {
            let verdict = match (likely.contains(&run), proven) {
                (true, true) => Verdict::Proven,
                // Workers that go down together, or fall silent, say little about what ran there.
                (true, false) if together || why == Lost::Silent => Verdict::Beside,
                (true, false) => Verdict::Suspected,
                (false, _) if together || why == Lost::Silent => return None,
                (false, _) => Verdict::Beside,
            };
            Some(Blame { run, verdict, lived_ms })
        };
        there.into_iter().filter_map(blame).collect()
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

/// Whether the task of a run is a suspect that the run has not cleared.
fn on_trial(state: &State, run: RunName, lived_ms: Span) -> bool {
    let suspicion = state.suspicion(run).filter(|suspicion| suspicion.suspect);
    suspicion.is_some_and(|suspicion| lived_ms < suspicion.clears_at_ms())
}
