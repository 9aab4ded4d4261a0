//! When the adviser is asked, and about what.

use std::collections::{BTreeMap, BTreeSet};

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

    /// Asks about runs that cannot be ordered for want of a ticket, step by step: the adviser takes most
    /// of its time for each question, whatever the number of workers.
    pub(super) fn ask_about_placed(&mut self, state: &State, now: Millis) {
        for (step, (workers, advice)) in self.placed_without_ticket(state, now) {
            let question = self.adviser.question(now, step, workers.into_iter(), advice);
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

    /// Steps of runs that are placed and cannot be ordered, with the workers that have them: a former
    /// leader had asked about them, or the ticket has run out.
    fn placed_without_ticket(
        &self,
        state: &State,
        now: Millis,
    ) -> BTreeMap<StepName, (BTreeSet<String>, Advice)> {
        let mut missing: BTreeMap<StepName, (BTreeSet<String>, Advice)> = BTreeMap::new();
        for (life, worker) in &self.workers {
            for run in state.placed(life).filter(|run| !worker.rows.contains_key(run)) {
                let Some(advice) = state.job(run.task.job).and_then(|job| job.advice) else {
                    continue;
                };
                let step = StepName::from(run.task);
                if self.adviser.ticket(now, step, life).is_none() {
                    let (workers, _) = missing.entry(step).or_insert((BTreeSet::new(), advice));
                    workers.insert(life.clone());
                }
            }
        }
        missing
    }
}
