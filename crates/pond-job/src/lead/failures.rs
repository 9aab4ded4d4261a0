//! Failures of each job, by which a faulty job is told from an unhealthy worker.

use std::collections::{BTreeMap, BTreeSet};

/// A job that has failed on this many workers and succeeded on none is faulty.
const MIN_WORKERS: usize = 2;

/// How the runs of a job have ended.
#[derive(Debug, Default)]
struct Ends {
    succeeded: bool,
    /// Agents of the workers on which runs failed.
    failed_on: BTreeSet<String>,
}

/// How the runs of the jobs have ended, as seen by one leader.
#[derive(Debug, Default)]
pub struct Failures {
    jobs: BTreeMap<u64, Ends>,
}

impl Failures {
    /// Records that a run of the job succeeded.
    pub fn record_success(&mut self, job: u64) {
        self.jobs.entry(job).or_default().succeeded = true;
    }

    /// Records that a run of the job failed on the worker of an agent.
    pub fn record_failure(&mut self, job: u64, agent: &str) {
        self.jobs.entry(job).or_default().failed_on.insert(agent.to_owned());
    }

    /// Returns whether the job fails wherever it runs, so that its failures say nothing about the
    /// workers.
    pub fn is_faulty(&self, job: u64) -> bool {
        let ends = self.jobs.get(&job);
        ends.is_some_and(|ends| !ends.succeeded && ends.failed_on.len() >= MIN_WORKERS)
    }

    /// Drops jobs that are no longer known.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.jobs.retain(|job, _| known(*job));
    }
}
