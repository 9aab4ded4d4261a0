//! Selection of the questions to the adviser.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pond_proto::{Millis, Span};

use super::advice::{Permit, Question, StepName};
use super::candidate::Candidate;
use super::obstacle::Obstacle;
use super::overdue::{IGNORABLE, MAX_WAIT_MS};
use super::ready::Group;
use super::{Leader, Output};
use crate::configuration::Advice;
use crate::state::State;

/// Waiting time of a job from which the adviser is asked for its forced placement, in milliseconds.
/// The rest of the maximum wait is left for the answer.
const ASK_AFTER_MS: Span = MAX_WAIT_MS / 2;

impl Leader {
    /// Handles the answer of the adviser; `None` if it did not answer.
    pub fn advised(&mut self, now: Millis, question: &Question, permits: Option<Vec<Permit>>) {
        self.adviser.answer(now, question, permits);
    }

    /// Asks about runs that cannot be ordered because they lack a ticket, one step at a time: most
    /// of the adviser's time is spent per question, whatever the number of workers.
    pub(super) fn ask_about_placed(&mut self, state: &State, now: Millis) {
        for (step, (workers, advice)) in self.placed_without_ticket(state, now) {
            let question = self.adviser.question(now, step, workers.into_iter(), advice);
            self.outputs.extend(question.map(Output::Advise));
        }
    }

    /// Asks about the first waiting step on which the adviser can say anything new; the others
    /// follow after its answer. Steps that are close to a forced placement go first, ordered by how
    /// long their jobs have been starved, then the most urgent ones. Answers expire, so the most
    /// urgent steps alone could occupy the adviser forever.
    pub(super) fn ask_about_ready(
        &mut self,
        now: Millis,
        ready: &[Group<'_>],
        candidates: &mut [Candidate],
    ) {
        if !self.adviser.is_free(now) {
            return;
        }
        let advised = ready.iter().filter(|group| group.job.advice.is_some());
        let mut groups: Vec<_> =
            advised.map(|group| (group, self.forcing_near_ms(now, group))).collect();
        groups.sort_by_key(|(_, near_ms)| Reverse(*near_ms));
        for (group, near_ms) in groups {
            let Some(advice) = group.job.advice else { continue };
            let (pool, task, near) = (&group.job.pool, group.task(0), near_ms.is_some());
            let admits = |ignored: &'static [Obstacle]| {
                move |candidate: &Candidate| candidate.admits(pool, task, group.step, ignored)
            };
            // A forced placement ignores whether workers are busy, so it needs tickets for those as
            // well.
            let healthy = match near {
                false => incarnations(candidates, |worker| worker.fits(pool, task, group.step)),
                true => incarnations(candidates, admits(&[])),
            };
            let mut question = self.adviser.question(now, task.into(), healthy.into_iter(), advice);
            if question.is_none() && near && !self.forced_by_healthy(now, group, candidates) {
                // If the healthy workers that may run the step are not enough, others are considered.
                let others = incarnations(candidates, admits(&IGNORABLE)).into_iter();
                question = self.adviser.question(now, task.into(), others, advice);
            }
            if let Some(question) = question {
                self.outputs.push(Output::Advise(question));
                return;
            }
        }
    }

    /// Returns how long a group has been starved, in milliseconds, if its forced placement is close;
    /// `None` otherwise. Each unplaced long-running task counts as starved.
    fn forcing_near_ms(&self, now: Millis, group: &Group<'_>) -> Option<Span> {
        let wait = self.waits.get(&group.id)?;
        let waited_ms = now.since(wait.since);
        let starved_ms = match group.step.long_running {
            true => waited_ms,
            false => now.since(wait.starved_since?),
        };
        (waited_ms >= ASK_AFTER_MS).then_some(starved_ms)
    }

    /// Returns the steps of placed runs that cannot be ordered, with their workers. A former leader
    /// had asked about them, or the ticket has expired.
    fn placed_without_ticket(
        &self,
        state: &State,
        now: Millis,
    ) -> BTreeMap<StepName, (BTreeSet<String>, Advice)> {
        let mut missing: BTreeMap<StepName, (BTreeSet<String>, Advice)> = BTreeMap::new();
        for incarnation in &self.unreconciled {
            let Some(worker) = self.workers.get(incarnation) else { continue };
            for run in state.placed(incarnation).filter(|run| !worker.rows.contains_key(run)) {
                let Some(advice) = state.job(run.task.job).and_then(|job| job.advice) else {
                    continue;
                };
                let step = StepName::from(run.task);
                if self.adviser.ticket(now, step, incarnation).is_none() {
                    let (workers, _) = missing.entry(step).or_insert((BTreeSet::new(), advice));
                    workers.insert(incarnation.clone());
                }
            }
        }
        missing
    }
}

/// Returns the incarnations of the eligible candidates.
fn incarnations(candidates: &[Candidate], eligible: impl Fn(&Candidate) -> bool) -> Vec<String> {
    let selected = candidates.iter().filter(|candidate| eligible(candidate));
    selected.map(|candidate| candidate.incarnation.clone()).collect()
}
