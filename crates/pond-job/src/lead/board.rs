//! Candidates that are kept from plan to plan. A worker's is made anew only when something of the worker
//! changed: a report, a start, an end, a loss, a job that ended, or a plan that gave it something. (To make all
//! anew took 8 to 16 us a worker: 4.2 of the 6.2 ms of a plan of 50 groups at 300 workers.)

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::job::RunName;

use super::Leader;
use super::candidate::Candidate;
use super::harm::Harm;
use super::plan::FRESH_MS;
use super::worker::Worker;
use crate::state::State;

/// What is kept between plans.
#[derive(Debug, Default)]
pub(super) struct Board {
    /// The candidates of the last plan, in the order of their lives.
    kept: Vec<Candidate>,
    /// Lives of which something has changed since.
    stale: BTreeSet<String>,
}

impl Board {
    /// Something of a life has changed.
    pub fn touch(&mut self, life: &str) {
        if !self.stale.contains(life) {
            self.stale.insert(life.to_owned());
        }
    }

    /// Keeps the candidates of a plan.
    pub fn keep(&mut self, candidates: Vec<Candidate>) {
        self.kept = candidates;
    }
}

impl Leader {
    /// The workers that may be given something, with what they have room for.
    pub(super) fn candidates(&mut self, state: &State, now: Millis) -> Vec<Candidate> {
        let Board { kept, stale } = std::mem::take(&mut self.board);
        let mut kept = kept.into_iter().peekable();
        let mut candidates = Vec::with_capacity(self.workers.len());
        let Leader { workers, harm, health, tried, begun, since, .. } = self;
        // A leader that has just come to lead does not know what its forerunner started.
        let begun = |life: &str| begun.get(life).copied().unwrap_or(*since);
        for (life, worker) in workers.iter().filter(|(_, worker)| sound(worker, now)) {
            while kept.next_if(|other| other.life < *life).is_some() {}
            let known = kept.next_if(|other| other.life == *life);
            let known = known.filter(|known| !known.planned && !stale.contains(life));
            let mut made = || made(state, life, worker, tried, harm);
            let mut candidate = known.unwrap_or_else(&mut made);
            // What is kept is what would be made anew. Checked by all tests, not in releases.
            if cfg!(debug_assertions) {
                let mut anew = made();
                anew.refresh(now, health.get(&worker.agent), begun(life), harm);
                candidate.refresh(now, health.get(&worker.agent), begun(life), harm);
                assert_eq!(candidate, anew, "what is kept of {life} is out of date");
            }
            candidate.refresh(now, health.get(&worker.agent), begun(life), harm);
            candidates.push(candidate);
        }
        candidates
    }
}

/// A worker with what the runs that are placed on it leave.
fn made(
    state: &State,
    life: &str,
    worker: &Worker,
    tried: &BTreeSet<RunName>,
    harm: &mut Harm,
) -> Candidate {
    let mut made = Candidate::new(life, worker);
    made.evacuated = state.is_evacuated(&worker.data_centre);
    for run in state.placed(life) {
        let Some(job) = state.job(run.task.job) else { continue };
        let Some(step) = job.step(run.task) else { continue };
        made.add(run, step, !job.phase.ended(), harm);
        made.tried += usize::from(tried.contains(&run));
        if let Some(suspicion) = state.suspicion(run).filter(|suspicion| suspicion.suspect) {
            made.add_suspect(suspicion, worker.rows.get(&run).map_or(0, |row| row.lived_ms.into()));
        }
    }
    made
}

/// Whether a worker may be given something: it is linked, stays, answers and has reported not long ago.
fn sound(worker: &Worker, now: Millis) -> bool {
    let fresh = now.since(worker.heard) <= FRESH_MS;
    worker.link.is_some() && !worker.draining && worker.answers && fresh
}
