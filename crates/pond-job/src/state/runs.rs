//! What happens to runs in the replicated state: starts, ends and lost workers.

use std::collections::BTreeSet;

use pond_proto::job::{How, Phase, RunName, TaskName};

use super::State;
use crate::change::{End, Reply, Start};
use crate::suspicion::{Blame, Suspicion};

impl State {
    /// Places the runs whose tasks may start; the others are left out of the reply.
    pub(super) fn start(&mut self, starts: Vec<Start>) -> Reply {
        let accepted = starts.into_iter().filter_map(|start| self.start_one(start)).collect();
        Reply::Started(accepted)
    }

    fn start_one(&mut self, start: Start) -> Option<RunName> {
        let name = start.run.task;
        let job = self.jobs.get_mut(&name.job).filter(|job| !job.phase.ended())?;
        if !job.turn(name.time as usize, name.step as usize) {
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
    pub(super) fn end(&mut self, worker: &str, ends: Vec<End>, unstarted: &[RunName]) -> Reply {
        let mut touched = BTreeSet::new();
        for end in ends {
            if end.number <= self.last_committed_end(worker) {
                continue;
            }
            self.committed.insert(worker.to_owned(), end.number);
            self.take_away(worker, end.run);
            self.end_one(end.run, end.how, end.save);
            touched.insert(end.run.task.job);
        }
        for run in unstarted {
            self.take_away(worker, *run);
            touched.insert(run.task.job);
        }
        Reply::Ended(touched.into_iter().filter_map(|id| self.settle_job(id)).collect())
    }

    /// Takes a run from its worker; the task can be placed again.
    fn take_away(&mut self, worker: &str, run: RunName) {
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

    fn end_one(&mut self, run: RunName, how: How, save: String) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        job.begun = true;
        let attempts = job.attempts;
        let Some(step) = job.step(run.task) else { return };
        let (lasting, gang) = (step.lasting, step.gang);
        let Some(task) = job.task_mut(run.task) else { return };
        if !save.is_empty() {
            task.save = save;
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
            How::Done if !lasting => self.done(run.task, gang),
            How::Failed => {
                task.failed += u32::from(!lasting);
                let used_up = !lasting && task.failed >= attempts;
                if (used_up || given_up) && !job.phase.ended() {
                    job.phase = Phase::Failed;
                }
            }
            _ => {}
        }
    }

    /// One end of a gang stands for all of it.
    fn done(&mut self, name: TaskName, gang: bool) {
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
        job.open -= newly;
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
    pub(super) fn blame(&mut self, worker: &str, blame: &[Blame]) {
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
    pub(super) fn clear(&mut self, runs: &[RunName]) -> Reply {
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
    pub(super) fn lose(
        &mut self,
        worker: &str,
        saves: Vec<(RunName, String)>,
        over: bool,
    ) -> Reply {
        for (run, save) in saves {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            job.begun = true;
            let task = job.task_mut(run.task).filter(|task| task.run == run.number);
            if let Some(task) = task.filter(|_| !save.is_empty()) {
                task.save = save;
            }
        }
        let runs: Vec<RunName> = self.placed(worker).collect();
        for run in &runs {
            self.take_away(worker, *run);
        }
        if over {
            self.committed.remove(worker);
        }
        Reply::Ended(runs.iter().filter_map(|run| self.settle_job(run.task.job)).collect())
    }
}
