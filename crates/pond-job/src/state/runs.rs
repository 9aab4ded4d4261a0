//! What happens to runs in the replicated state: starts, ends and lost workers.

use std::collections::BTreeSet;

use pond_proto::job::{How, Phase, RunName, TaskName};

use super::State;
use crate::change::{End, Reply, Start};
use crate::suspicion::{Blame, Suspicion};

impl State {
    /// Places the runs whose tasks may start; the others are left out of the reply.
    pub(super) fn place_runs(&mut self, starts: Vec<Start>) -> Reply {
        let accepted = starts.into_iter().filter_map(|start| self.place_run(start)).collect();
        Reply::Started(accepted)
    }

    fn place_run(&mut self, start: Start) -> Option<RunName> {
        let name = start.run.task;
        let job = self.jobs.get_mut(&name.job).filter(|job| !job.phase.ended())?;
        if !job.is_step_ready(name.time as usize, name.step as usize) {
            return None;
        }
        let task = job.task_mut(name)?;
        let free = task.worker.is_none() && !task.done;
        if !free || start.run.number <= task.run {
            return None;
        }
        task.run = start.run.number;
        task.worker = Some(start.worker.clone());
        job.placed += 1;
        job.phase = Phase::Running;
        self.agents.insert(start.worker.clone(), start.agent);
        self.placed.entry(start.worker).or_default().insert(start.run);
        Some(start.run)
    }

    /// Takes in ends that were not settled before, and runs that never started.
    pub(super) fn apply_ends(
        &mut self,
        worker: &str,
        ends: Vec<End>,
        unstarted: &[RunName],
    ) -> Reply {
        let mut touched = BTreeSet::new();
        for end in ends {
            if end.number <= self.last_committed_end(worker) {
                continue;
            }
            self.committed.insert(worker.to_owned(), end.number);
            self.release_run(worker, end.run);
            self.apply_end(end.run, end.how, end.checkpoint);
            touched.insert(end.run.task.job);
        }
        for run in unstarted {
            self.release_run(worker, *run);
            touched.insert(run.task.job);
        }
        Reply::Ended(touched.into_iter().filter_map(|id| self.update_phase(id)).collect())
    }

    /// Takes a run from its worker; the task can be placed again.
    fn release_run(&mut self, worker: &str, run: RunName) {
        let Some(runs) = self.placed.get_mut(worker) else { return };
        if !runs.remove(&run) {
            return;
        }
        if runs.is_empty() {
            self.placed.remove(worker);
            self.agents.remove(worker);
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        job.placed -= 1;
        if let Some(task) = job.task_mut(run.task)
            && task.run == run.number
        {
            task.worker = None;
        }
    }

    fn apply_end(&mut self, run: RunName, how: How, checkpoint: String) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        job.begun = true;
        let max_attempts = job.max_attempts;
        let Some(step) = job.step(run.task) else { return };
        let (lasting, gang) = (step.lasting, step.gang);
        let Some(task) = job.task_mut(run.task) else { return };
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint;
        }
        let newest = task.run == run.number;
        if how == How::Done && newest {
            task.suspicion = None;
        }
        // A worker that fails whatever it starts tells nothing of what the task does to others, so a failure
        // clears nothing.
        let held = task.suspicion.as_mut().filter(|_| how == How::Failed && newest);
        let given_up = held.is_some_and(|held| {
            held.record_failure();
            held.is_culprit()
        });
        match how {
            How::Done if !lasting => self.complete_task(run.task, gang),
            How::Failed => {
                task.failures += u32::from(!lasting);
                let used_up = !lasting && task.failures >= max_attempts;
                if (used_up || given_up) && !job.phase.ended() {
                    job.phase = Phase::Failed;
                }
            }
            _ => {}
        }
    }

    /// One end of a gang stands for all of it.
    fn complete_task(&mut self, name: TaskName, gang: bool) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let mut newly = 0;
        let steps = job.times.get_mut(name.time as usize);
        let Some(tasks) = steps.and_then(|steps| steps.get_mut(name.step as usize)) else { return };
        for (index, task) in tasks.iter_mut().enumerate() {
            let stands = gang || index == name.index as usize;
            if stands && !task.done {
                task.done = true;
                newly += 1;
            }
        }
        job.unfinished -= newly;
    }

    /// What is held against the task of a run with the loss of a life; none if the loss does not count, as the
    /// run has no place there any more or nothing of its job goes on.
    pub fn suspicion_with(&self, worker: &str, blame: &Blame) -> Option<Suspicion> {
        let runs = self.placed.get(worker)?;
        let job = self.jobs.get(&blame.run.task.job).filter(|job| !job.phase.ended())?;
        let task = job.task(blame.run.task).filter(|task| !task.done)?;
        let mut held = task.suspicion.as_deref().cloned().unwrap_or_default();
        let agent = self.agents.get(worker).map_or("", String::as_str);
        held.record_loss(blame, agent);
        Some(held).filter(|_| runs.contains(&blame.run))
    }

    /// Counts the loss of a life against tasks whose runs were lost with it. A proposal that is applied
    /// twice counts once, as the runs have no place there any more. A task that takes down its workers would
    /// do so for ever: its job has failed, whatever attempts it has left.
    pub(super) fn record_losses(&mut self, worker: &str, blame: &[Blame]) {
        for blame in blame {
            let Some(held) = self.suspicion_with(worker, blame) else { continue };
            let Some(job) = self.jobs.get_mut(&blame.run.task.job) else { continue };
            if held.is_culprit() {
                job.phase = Phase::Failed;
            }
            if let Some(task) = job.task_mut(blame.run.task) {
                task.suspicion = Some(Box::new(held));
            }
        }
    }

    /// Clears the tasks of which these are the newest runs.
    pub(super) fn clear_suspicions(&mut self, runs: &[RunName]) -> Reply {
        for run in runs {
            let job = self.jobs.get_mut(&run.task.job);
            let task = job.and_then(|job| job.task_mut(run.task));
            if let Some(task) = task.filter(|task| task.run == run.number) {
                task.suspicion = None;
            }
        }
        Reply::Accepted
    }

    /// Takes all runs from a life of a worker on which nothing runs any more.
    pub(super) fn lose_worker(
        &mut self,
        worker: &str,
        checkpoints: Vec<(RunName, String)>,
        ended: bool,
    ) -> Reply {
        for (run, checkpoint) in checkpoints {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            job.begun = true;
            let task = job.task_mut(run.task).filter(|task| task.run == run.number);
            if let Some(task) = task.filter(|_| !checkpoint.is_empty()) {
                task.checkpoint = checkpoint;
            }
        }
        let runs: Vec<RunName> = self.placed(worker).collect();
        for run in &runs {
            self.release_run(worker, *run);
        }
        if ended {
            self.committed.remove(worker);
        }
        Reply::Ended(runs.iter().filter_map(|run| self.update_phase(run.task.job)).collect())
    }
}
