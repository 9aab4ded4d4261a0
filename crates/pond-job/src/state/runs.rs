//! Changes to runs in the replicated state: starts, ends and lost workers.

use std::collections::BTreeSet;

use pond_proto::job::{EndReason, Phase, RunName, TaskName};

use super::State;
use crate::change::{End, Reply, Start};
use crate::evidence::Loss;
use crate::job::Task;
use crate::suspicion::{Blame, Suspicion};

impl State {
    /// Places the runs whose tasks may start; the reply omits the others.
    pub(super) fn place_runs(&mut self, starts: Vec<Start>) -> Reply {
        let accepted = starts.into_iter().filter_map(|start| self.place_run(start)).collect();
        Reply::Started(accepted)
    }

    fn place_run(&mut self, start: Start) -> Option<RunName> {
        let name = start.run.task;
        let job = self.jobs.get_mut(&name.job).filter(|job| !job.phase.ended())?;
        if !job.is_step_ready(name.repetition as usize, name.step as usize) {
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

    /// Applies ends that were not committed before, and removes runs that never started.
    pub(super) fn apply_ends(
        &mut self,
        worker: &str,
        ends: Vec<End>,
        unstarted: &[RunName],
    ) -> Reply {
        let mut changed = BTreeSet::new();
        for end in ends {
            if end.number <= self.last_committed_end(worker) {
                continue;
            }
            self.committed.insert(worker.to_owned(), end.number);
            self.release_run(worker, end.run);
            self.apply_end(end.run, end.how, end.checkpoint);
            self.settle_task(end.run.task);
            changed.insert(end.run.task.job);
        }
        for run in unstarted {
            self.release_run(worker, *run);
            self.settle_task(run.task);
            changed.insert(run.task.job);
        }
        Reply::Ended(changed.into_iter().filter_map(|id| self.update_phase(id)).collect())
    }

    /// Removes a run from its worker. If it is the newest of its task, the task has no placed run any more.
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

    /// Gives a task without a placed run the result that an earlier run has left it with: it is done, or it has used
    /// up its attempts and its job has failed.
    pub(super) fn settle_task(&mut self, name: TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let exhausted = job.is_exhausted(name);
        let Some(task) = job.task_mut(name).filter(|task| task.is_pending()) else { return };
        if task.superseded {
            task.done = true;
            job.unfinished -= 1;
        } else if exhausted && !job.phase.ended() {
            job.phase = Phase::Failed;
        }
    }

    fn apply_end(&mut self, run: RunName, reason: EndReason, checkpoint: String) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        job.begun = true;
        let Some(step) = job.step(run.task) else { return };
        let (long_running, gang) = (step.long_running, step.gang);
        let Some(task) = job.task_mut(run.task) else { return };
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint;
        }
        let newest = task.run == run.number;
        if reason == EndReason::Done && newest {
            let suspected = task.suspicion.take().is_some();
            // Most tasks that are done were on no lost worker; the evidence need not be searched for them.
            if suspected || self.evidence.outlived_ms(run.task) > 0 {
                self.evidence.exclude(run.task);
            }
        }
        // A failure does not clear the task: a worker on which every run fails shows nothing about the task's effect on
        // others.
        let suspicion = task.suspicion.as_mut().filter(|_| reason == EndReason::Failed && newest);
        let given_up = suspicion.is_some_and(|suspicion| {
            suspicion.record_failure();
            suspicion.is_culprit()
        });
        match reason {
            EndReason::Done if !long_running => self.complete_task(run, gang),
            EndReason::Failed if !task.superseded => {
                task.failures += u32::from(!long_running);
                if given_up && !job.phase.ended() {
                    job.phase = Phase::Failed;
                }
            }
            _ => {}
        }
    }

    /// Marks a task as done, or all tasks of its gang: the end of one member ends the gang. Tasks with a newer run
    /// are done once that run, which may not have begun yet, is no longer placed.
    fn complete_task(&mut self, run: RunName, gang: bool) {
        let RunName { task: name, number } = run;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let mut completed = 0;
        let steps = job.repetitions.get_mut(name.repetition as usize);
        let Some(tasks) = steps.and_then(|steps| steps.get_mut(name.step as usize)) else { return };
        for (index, task) in tasks.iter_mut().enumerate() {
            let completes = gang || index == name.index as usize;
            if !completes || task.done {
                continue;
            }
            if task.run > number && task.worker.is_some() {
                task.superseded = true;
            } else {
                task.done = true;
                completed += 1;
            }
        }
        job.unfinished -= completed;
    }

    /// Returns the suspicion against a task once the loss of a worker incarnation is added; `None` if the loss does
    /// not count because the run is no longer placed there, a run of the task was done or its job has ended.
    pub fn suspicion_with(&self, worker: &str, blame: &Blame) -> Option<Suspicion> {
        let runs = self.placed.get(worker)?;
        let job = self.jobs.get(&blame.run.task.job).filter(|job| !job.phase.ended())?;
        let task = job.task(blame.run.task).filter(|task| task.needs_run())?;
        let mut suspicion = task.suspicion.as_deref().cloned().unwrap_or_default();
        let agent = self.agents.get(worker).map_or("", String::as_str);
        suspicion.record_loss(blame, agent);
        Some(suspicion).filter(|_| runs.contains(&blame.run))
    }

    /// Counts the loss of a worker incarnation against the tasks whose runs were lost with it.
    ///
    /// A proposal that is applied twice counts once, because the runs are no longer placed there the second time. A
    /// culprit would keep crashing workers, so its job fails even if it has attempts left.
    pub(super) fn record_losses(&mut self, worker: &str, blame: &[Blame], evidence: Option<Loss>) {
        let mut counted = false;
        for blame in blame {
            let Some(suspicion) = self.suspicion_with(worker, blame) else { continue };
            counted = true;
            let Some(job) = self.jobs.get_mut(&blame.run.task.job) else { continue };
            if suspicion.is_culprit() {
                job.phase = Phase::Failed;
            }
            if let Some(task) = job.task_mut(blame.run.task) {
                task.suspicion = Some(Box::new(suspicion));
            }
        }
        if let Some(loss) = evidence.filter(|_| counted) {
            let jobs = &self.jobs;
            let open = |task: TaskName| {
                let job = jobs.get(&task.job).filter(|job| !job.phase.ended());
                job.and_then(|job| job.task(task)).is_some_and(Task::needs_run)
            };
            self.evidence.record(loss, open);
        }
    }

    /// Clears the tasks whose newest run is among `runs`. Their losses remain evidence: a task that crashes its
    /// workers late outlives many a loss that another task caused.
    pub(super) fn clear_suspicions(&mut self, runs: &[RunName]) -> Reply {
        for run in runs {
            let job = self.jobs.get_mut(&run.task.job);
            let task = job.and_then(|job| job.task_mut(run.task));
            let suspicion =
                task.filter(|task| task.run == run.number).and_then(|task| task.suspicion.take());
            if let Some(suspicion) = suspicion {
                self.evidence.record_survival(run.task, suspicion.clears_at_ms());
            }
        }
        Reply::Accepted
    }

    /// Withdraws those of the runs that are placed on a worker of an agent.
    pub(super) fn withdraw(&mut self, agent: String, runs: Vec<RunName>) -> Reply {
        let incarnations: Vec<&str> = self.incarnations_at(&agent).collect();
        let placed = |run: &RunName| {
            incarnations
                .iter()
                .any(|worker| self.placed.get(*worker).is_some_and(|runs| runs.contains(run)))
        };
        let runs: Vec<RunName> = runs.into_iter().filter(placed).collect();
        if !runs.is_empty() {
            self.withdrawn.entry(agent).or_default().extend(runs);
        }
        Reply::Accepted
    }

    /// Forgets withdrawn runs that have ended or will never start.
    pub(super) fn resolve_withdrawn(&mut self, agent: &str, runs: &[RunName]) -> Reply {
        if let Some(withdrawn) = self.withdrawn.get_mut(agent) {
            withdrawn.retain(|run| !runs.contains(run));
            if withdrawn.is_empty() {
                self.withdrawn.remove(agent);
            }
        }
        Reply::Accepted
    }

    /// Removes all runs from a worker incarnation on which nothing runs any more, and withdraws them.
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
        // A withdrawal that was proposed before may not have been committed.
        if let Some(agent) = self.agents.get(worker).filter(|_| !runs.is_empty()) {
            self.withdrawn.entry(agent.clone()).or_default().extend(&runs);
        }
        for run in &runs {
            self.release_run(worker, *run);
            self.settle_task(run.task);
        }
        if ended {
            self.committed.remove(worker);
        }
        Reply::Ended(runs.iter().filter_map(|run| self.update_phase(run.task.job)).collect())
    }
}
