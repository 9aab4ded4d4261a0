//! When the adviser is asked, and about what.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use pond_proto::{Millis, Span};

use super::advice::{Permit, Question, StepName};
use super::candidate::Candidate;
use super::overdue::{MAX_WAIT_MS, UNHEALTHY};
use super::ready::Ready;
use super::{Leader, Output};
use crate::configuration::Advice;
use crate::state::State;

/// From this wait of a job on the adviser is asked for its trial, in milliseconds: the rest of the
/// patience is for the answer.
const ASK_AFTER_MS: Span = MAX_WAIT_MS / 2;

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

    /// Asks about the first step that waits for a worker and of which the adviser can say something
    /// new; questions about the others come when it has answered. Steps whose trial comes near go first,
    /// those of jobs that have stood still for longest before others, then the most urgent: answers
    /// run out, so the most urgent steps alone could keep the adviser busy for ever.
    pub(super) fn ask_about_ready(
        &mut self,
        now: Millis,
        ready: &[Ready<'_>],
        candidates: &[Candidate],
    ) {
        let advised = ready.iter().filter(|group| group.job.advice.is_some());
        let mut groups: Vec<_> =
            advised.map(|group| (group, self.forcing_near_ms(now, group.id))).collect();
        groups.sort_by_key(|(_, near_ms)| Reverse(*near_ms));
        for (group, near_ms) in groups {
            let Some(advice) = group.job.advice else { continue };
            let task = group.task(0);
            let pool = &group.job.pool;
            let incarnations = |asked: &dyn Fn(&Candidate) -> bool| -> Vec<String> {
                let asked = candidates.iter().filter(|candidate| asked(candidate));
                asked.map(|candidate| candidate.incarnation.clone()).collect()
            };
            // A trial does not heed who is busy, so it needs tickets for those, too.
            let healthy = match near_ms {
                None => incarnations(&|candidate| candidate.fits(pool, task, group.step)),
                Some(_) => incarnations(&|candidate| candidate.admits(pool, task, group.step, &[])),
            };
            let allowed =
                healthy.iter().any(|incarnation| !self.lacks_ticket(now, group, task, incarnation));
            let mut question = self.adviser.question(now, task.into(), healthy.into_iter(), advice);
            if question.is_none() && near_ms.is_some() && !allowed {
                // Where no sound worker may take it, others are tried.
                let any =
                    |candidate: &Candidate| candidate.admits(pool, task, group.step, &UNHEALTHY);
                let others = incarnations(&any).into_iter();
                question = self.adviser.question(now, task.into(), others, advice);
            }
            self.outputs.extend(question.map(Output::Advise));
        }
    }

    /// How long a job has stood still, in milliseconds, if its trial comes near; else none.
    fn forcing_near_ms(&self, now: Millis, id: u64) -> Option<Span> {
        let wait = self.waits.get(&id).filter(|wait| wait.starved_since.is_some())?;
        (now.since(wait.since) >= ASK_AFTER_MS).then(|| wait.starved_ms(now))
    }

    /// Steps of runs that are placed and cannot be ordered, with the workers that have them: a former
    /// leader had asked about them, or the ticket has run out.
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
