//! When the adviser is asked, and about what.

use std::collections::BTreeSet;
use std::iter::once;

use pond_proto::Millis;

use super::advice::{Permit, Question, StepName};
use super::candidate::Candidate;
use super::ready::Ready;
use super::{Leader, Output};
use crate::configuration::Advice;
use crate::state::State;

impl Leader {
    /// The adviser answered a question, or did not.
    pub fn advised(&mut self, now: Millis, question: &Question, permits: Option<Vec<Permit>>) {
        self.adviser.answer(now, question, permits);
    }

    /// Asks about runs that cannot be ordered for want of a ticket.
    pub(super) fn ask_about_placed(&mut self, state: &State, now: Millis) {
        for (step, worker, advice) in self.placed_without_ticket(state, now) {
            let question = self.adviser.question(now, step, once(worker), advice);
            self.outputs.extend(question.map(Output::Advise));
        }
    }

    /// Asks about the most urgent step that waits for a worker and of which the adviser can say
    /// something new; questions about the others come when it has answered.
    pub(super) fn ask_about_ready(
        &mut self,
        now: Millis,
        ready: &[Ready<'_>],
        candidates: &[Candidate],
    ) {
        for group in ready {
            let Some(advice) = group.job.advice else { continue };
            let task = group.task(0);
            let fits = |candidate: &&Candidate| candidate.fits(&group.job.pool, task, group.step);
            let workers = candidates.iter().filter(fits).map(|candidate| candidate.life.clone());
            let question = self.adviser.question(now, task.into(), workers, advice);
            self.outputs.extend(question.map(Output::Advise));
        }
    }

    /// Steps and workers of runs that are placed and cannot be ordered: a former leader had asked
    /// about them, or the ticket has run out.
    fn placed_without_ticket(&self, state: &State, now: Millis) -> Vec<(StepName, String, Advice)> {
        let mut missing = BTreeSet::new();
        let mut found = Vec::new();
        for (life, worker) in &self.workers {
            for run in state.placed(life).filter(|run| !worker.rows.contains_key(run)) {
                let Some(advice) = state.job(run.task.job).and_then(|job| job.advice) else {
                    continue;
                };
                let step = StepName::from(run.task);
                let has = self.adviser.ticket(now, step, life).is_some();
                if !has && missing.insert((step, life)) {
                    found.push((step, life.clone(), advice));
                }
            }
        }
        found
    }
}
