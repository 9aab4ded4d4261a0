//! Detection of stalled runs.

use pond_proto::fleet::Report;
use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

use super::{Decision, Leader, Output};
use crate::state::State;

/// A run without progress for this long is stalled, in milliseconds. Estimates may be wrong by
/// half, and reports arrive every second.
const STALL_MS: Span = 2_500;

/// A run without progress for this many tenths of its estimate is stalled.
const STALL_ESTIMATE_TENTHS: u64 = 2;

/// A best-effort run without progress for this long is stalled, in milliseconds. The limit is
/// longer because such runs may be slowed down in favour of serving runs. It also applies to any
/// run that has completed its work but has not ended.
const BEST_EFFORT_STALL_MS: Span = 6_000;

/// A long-running run that is not working yet is stalled after this time without progress, in
/// milliseconds.
const LONG_RUNNING_START_MS: Span = 5_000;

/// Last reported progress of a run, and since when it has not changed.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    percent: u32,
    since: Millis,
}

impl Leader {
    /// Compares a report with the known progress, and stops stalled runs.
    pub(super) fn watch_progress(
        &mut self,
        state: &State,
        now: Millis,
        incarnation: &str,
        report: &Report,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let mut stalled = Vec::new();
        worker.progress.retain(|run, _| worker.rows.contains_key(run));
        for row in &report.runs {
            let known = worker.progress.get(&row.run);
            // Nothing is known about a worker that does not answer, and one that crashed is healthy
            // once it is back. If its runs counted as stalled, it would be in backoff for 2 to 8 s.
            let same = known.filter(|known| known.percent == row.percent && report.responsive);
            let progress = same.copied().unwrap_or(Progress { percent: row.percent, since: now });
            worker.progress.insert(row.run, progress);
            if is_stalled(state, now, row.run, progress) {
                stalled.push(row.run);
            }
        }
        if worker.draining {
            return;
        }
        for run in stalled {
            self.stop_stalled(now, incarnation, run);
        }
    }

    fn stop_stalled(&mut self, now: Millis, incarnation: &str, run: RunName) {
        if !self.unwanted.insert(run) {
            return;
        }
        let worker = incarnation.to_owned();
        self.avoided.entry(run.task).or_default().insert(worker.clone());
        if let Some(known) = self.workers.get(incarnation) {
            let health = self.health.entry(known.agent.clone()).or_default();
            health.record_failure(now, run.task.job);
            if let Some(backoff_ms) = health.back_off(now) {
                let worker = worker.clone();
                self.outputs.push(Output::Decided(Decision::Unhealthy { worker, backoff_ms }));
            }
        }
        self.outputs.push(Output::Decided(Decision::Stalled { run, worker }));
    }
}

fn is_stalled(state: &State, now: Millis, run: RunName, progress: Progress) -> bool {
    let Some(step) = state.step(run.task) else {
        return false;
    };
    let elapsed_ms = now.since(progress.since);
    if step.long_running {
        return progress.percent < 100 && elapsed_ms >= LONG_RUNNING_START_MS;
    }
    if progress.percent >= 100 {
        return elapsed_ms >= BEST_EFFORT_STALL_MS;
    }
    let limit_ms = if step.best_effort { BEST_EFFORT_STALL_MS } else { STALL_MS };
    // A hundredth of the work should be visible within a hundredth of the time; slow workers get
    // more.
    elapsed_ms >= limit_ms.max(step.estimate_ms * STALL_ESTIMATE_TENTHS / 10)
}
