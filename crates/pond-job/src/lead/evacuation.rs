//! Withdrawal of runs that have not started on workers of an evacuated data centre.
//!
//! Started runs continue to their end: a move would discard the work since the last checkpoint, and
//! a moved long-running task is unavailable while it starts, which its owner tolerates only for a
//! limited number of them. No task is started in an evacuated data centre, so freed capacity is
//! replaced elsewhere.

use std::collections::BTreeSet;

use pond_proto::job::{RunName, TaskName};

use super::Leader;
use super::worker::Worker;
use crate::state::State;

impl Leader {
    /// Returns the incarnations of workers in a data centre.
    pub(super) fn incarnations_in(&self, data_centre: &str) -> Vec<String> {
        let located = |(_, worker): &(&String, &Worker)| worker.data_centre == data_centre;
        self.workers.iter().filter(located).map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Withdraws runs that have not started on an incarnation if its data centre is evacuated. If
    /// one task of a gang is withdrawn, all are, as the others would wait for it in vain.
    pub(super) fn withdraw_evacuated(&mut self, state: &State, incarnation: &str) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        if !state.is_evacuated(&worker.data_centre) {
            return;
        }
        let withdrawable =
            |run: &RunName| not_started(worker, *run) && !self.unwanted.contains(run);
        let mut runs: BTreeSet<RunName> = state.placed(incarnation).filter(withdrawable).collect();
        let gangs: Vec<RunName> = runs.iter().copied().collect();
        runs.extend(gangs.into_iter().flat_map(|run| gang_of(state, run)));
        for run in runs {
            let job = state.job(run.task.job);
            let place = job.and_then(|job| job.task(run.task)?.worker.clone());
            let Some(place) = place else { continue };
            self.unwanted.insert(run);
            self.unreconciled.insert(place.clone());
            self.dirty.insert(place);
        }
    }
}

/// Returns whether a placed run has certainly not started: its worker is responsive and does not
/// list it, or its agent reports it as ordered only. An agent that has just started may not know
/// yet what runs on its worker.
fn not_started(worker: &Worker, run: RunName) -> bool {
    match worker.rows.get(&run) {
        Some(row) => row.unlisted,
        None => worker.answers,
    }
}

/// Returns the placed runs of the gang that a run belongs to; empty if it is not part of a gang.
fn gang_of(state: &State, run: RunName) -> Vec<RunName> {
    let Some(job) = state.job(run.task.job) else { return Vec::new() };
    if !job.step(run.task).is_some_and(|step| step.gang) {
        return Vec::new();
    }
    let steps = job.repetitions.get(run.task.repetition as usize);
    let Some(tasks) = steps.and_then(|steps| steps.get(run.task.step as usize)) else {
        return Vec::new();
    };
    let member = |index: usize| {
        let task = TaskName { index: index as u32, ..run.task };
        RunName { task, ..run }
    };
    let placed = tasks.iter().enumerate().filter(|(_, task)| task.run == run.number);
    placed.filter(|(_, task)| task.worker.is_some()).map(|(index, _)| member(index)).collect()
}
