//! Finds runs that stand still.

use pond_proto::fleet::Report;
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::{Decision, Leader, Output};
use crate::state::State;

/// A run that shows no progress for this long stands still, in milliseconds; estimates may be wrong
/// by half, and reports come every second.
const STILL_MS: Span = 2_500;

/// A run that takes this many times its estimate without progress stands still.
const STILL_ESTIMATES: u64 = 2;

/// A filling run may be slowed down for the sake of others, so it gets more time, in milliseconds.
const FILL_STILL_MS: Span = 6_000;

/// A lasting run should be at work after this time, in milliseconds.
const LASTING_STILL_MS: Span = 5_000;

/// How far a run was, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    percent: u32,
    since: Millis,
}

impl Leader {
    /// Compares a report with what was known, and gives up runs that stand still.
    pub(super) fn watch_progress(
        &mut self,
        state: &State,
        now: Millis,
        life: &str,
        report: &Report,
    ) {
        let Some(worker) = self.workers.get_mut(life) else { return };
        let mut still = Vec::new();
        worker.progress.retain(|run, _| worker.rows.contains_key(run));
        for row in &report.runs {
            let known = worker.progress.get(&row.run);
            // Of a worker that does not answer nothing is known, and one that went down is well once it is
            // back: taken for stalled, its runs made it rest for 2 to 8 s.
            let same = known.filter(|known| known.percent == row.percent && report.answers);
            let progress = same.copied().unwrap_or(Progress { percent: row.percent, since: now });
            worker.progress.insert(row.run, progress);
            if stands_still(state, now, row.run, progress) {
                still.push(row.run);
            }
        }
        if worker.draining {
            return;
        }
        for run in still {
            self.give_up(now, life, run);
        }
    }

    fn give_up(&mut self, now: Millis, life: &str, run: RunName) {
        if !self.unwanted.insert(run) {
            return;
        }
        let worker = life.to_owned();
        self.avoided.entry(run.task).or_default().insert(worker.clone());
        if let Some(known) = self.workers.get(life) {
            let health = self.health.entry(known.agent.clone()).or_default();
            health.bad(now, run.task.job);
            if let Some(backoff_ms) = health.rest(now) {
                let worker = worker.clone();
                self.outputs.push(Output::Decided(Decision::Unhealthy { worker, backoff_ms }));
            }
        }
        self.outputs.push(Output::Decided(Decision::Stalled { run, worker }));
    }
}

fn stands_still(state: &State, now: Millis, run: RunName, progress: Progress) -> bool {
    let Some(step) = state.step(run.task) else {
        return false;
    };
    let span = now.since(progress.since);
    if step.lasting {
        return progress.percent < 100 && span >= LASTING_STILL_MS;
    }
    if progress.percent >= 100 {
        return span >= FILL_STILL_MS;
    }
    let least = if step.fills { FILL_STILL_MS } else { STILL_MS };
    // A hundredth of the work should show within a hundredth of the time; slow workers get more.
    span >= least.max(step.estimate_ms * STILL_ESTIMATES / 10)
}
