//! Takes back what was given to workers of a data centre that an operator evacuates, and has not begun.
//!
//! What runs there goes on to its end: a move would throw away the work since its last save, and a lasting task
//! that is moved is away for as long as its start takes, which its owner bears of so many only. Nothing of a step is started there, so
//! what comes free is made up for elsewhere.

use std::collections::BTreeSet;

use pond_proto::job::{RunName, TaskName};

use super::Leader;
use super::worker::Worker;
use crate::state::State;

impl Leader {
    /// The lives of workers in a data centre.
    pub(super) fn incarnations_in(&self, data_centre: &str) -> Vec<String> {
        let there = |(_, worker): &(&String, &Worker)| worker.data_centre == data_centre;
        self.workers.iter().filter(there).map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Takes back what has not begun on a life, if its data centre is evacuated. With a member of a gang all of
    /// it is taken back, as the others would wait for it in vain.
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

/// Whether a placed run has surely not begun: its worker answers and does not list it, or its agent tells of
/// it as ordered only. An agent that has just started may not know yet what runs beside it.
fn not_started(worker: &Worker, run: RunName) -> bool {
    match worker.rows.get(&run) {
        Some(row) => row.unlisted,
        None => worker.answers,
    }
}

/// The placed runs of the gang that a run belongs to; none if it is of no gang.
fn gang_of(state: &State, run: RunName) -> Vec<RunName> {
    let Some(job) = state.job(run.task.job) else { return Vec::new() };
    if !job.step(run.task).is_some_and(|step| step.gang) {
        return Vec::new();
    }
    let steps = job.times.get(run.task.time as usize);
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
