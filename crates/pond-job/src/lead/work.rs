//! Work of ended runs, by what their jobs could still achieve: how much of the capacity goes to late
//! and to worthless jobs.

use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::job::{EndReason, RunName};

use super::Leader;
use super::ready::{Prospect, prospect};
use crate::change::Change;
use crate::state::State;

/// Work of an ended run.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Queue of its job.
    pub queue: String,
    /// What its job could still achieve when the run ended.
    pub prospect: Prospect,
    /// Reserved processors times duration, in thousandths of a processor times milliseconds.
    pub milli_cpu_ms: u64,
}

impl Leader {
    /// Returns the work of the runs that a change ends, before it is applied: a job that ends drops
    /// its steps. Of runs that former leaders started, the time since this one leads counts. Runs
    /// that have not started did no work.
    pub fn ended_work(
        &self,
        state: &State,
        now: Millis,
        wall: Millis,
        change: &Change,
    ) -> Vec<Work> {
        // Each run, and whether its task is done.
        let ended: Vec<(RunName, bool)> = match change {
            Change::Ended { worker, ends, unstarted } => {
                let (ends, _) = state.uncommitted(worker, ends, unstarted);
                ends.into_iter().map(|end| (end.run, end.how == EndReason::Done)).collect()
            }
            Change::WorkerLost { worker, .. } => {
                state.placed(worker).map(|run| (run, false)).collect()
            }
            _ => return Vec::new(),
        };
        // The jobs as they are after the change.
        let mut jobs = BTreeMap::new();
        for (run, done) in &ended {
            let Some(job) = state.job(run.task.job) else { continue };
            let job = jobs.entry(run.task.job).or_insert_with(|| job.clone());
            if let Some(task) = job.task_mut(run.task) {
                task.done |= done;
            }
        }
        let work = |(run, _): (RunName, bool)| {
            let job = jobs.get(&run.task.job)?;
            let milli_cpu = u64::from(job.step(run.task)?.milli_cpu);
            let repetition = run.task.repetition as usize;
            let (prospect, _) = prospect(state, &self.durations, job, repetition, wall);
            let since = self.run_starts.get(&run).copied().unwrap_or(self.leading_since);
            let milli_cpu_ms = milli_cpu * now.since(since);
            Some(Work { queue: job.queue.clone(), prospect, milli_cpu_ms })
        };
        ended.into_iter().filter_map(work).collect()
    }
}
