//! Eviction of best-effort runs that interfere with serving runs.

use pond_proto::Millis;
use pond_proto::fleet::Report;
use pond_proto::job::RunName;

use super::colocation::{BestEffort, ServingLoad, at_work, permille};
use super::{Decision, Leader, Output};
use crate::state::State;

/// A run that has completed this much of its work, in percent, is left to finish: a move costs it
/// more than it saves the others. If it takes longer after all, the agent slows it down.
const NEARLY_DONE_PERCENT: u32 = 50;

/// Maximum number of moves of a task; after that its agent slows it down where it interferes. A
/// move discards all work since the last checkpoint, so a task that is moved wherever it starts
/// would never finish. Restarts away from slow workers count as moves.
pub(super) const MAX_MOVES: u32 = 2;

impl Leader {
    /// Stops the best-effort runs because of which a serving run on the worker will miss its
    /// target, so that they continue elsewhere. Slowing them down would cost them more, and a
    /// stopped run keeps its checkpoint.
    pub(super) fn evict(&mut self, state: &State, now: Millis, incarnation: &str, report: &Report) {
        let (serving, runs, best_effort_tasks) = self.colocated(state, now, report);
        let culprits = self.interference.culprits(&serving, &best_effort_tasks);
        if culprits.is_empty() {
            return;
        }
        let excess = self.interference.excess(&serving, &best_effort_tasks);
        for i in culprits {
            // A forced run has waited long enough; its agent slows it down if necessary.
            let moves = self.moves.get(&runs[i].task).copied().unwrap_or(0);
            let stays = nearly_done(report, runs[i]) || self.forced.contains(&runs[i]);
            if stays || moves >= MAX_MOVES || !self.unwanted.insert(runs[i]) {
                continue;
            }
            self.moves.insert(runs[i].task, moves + 1);
            let decision = Decision::Moved {
                run: runs[i],
                worker: incarnation.to_owned(),
                excess_permille: permille(excess),
                added_permille: permille(self.interference.added(&serving, &best_effort_tasks[i])),
            };
            self.outputs.push(Output::Decided(decision));
        }
    }

    /// Returns the serving tasks of a report, and its best-effort runs that are not being moved
    /// already.
    fn colocated(
        &mut self,
        state: &State,
        now: Millis,
        report: &Report,
    ) -> (Vec<ServingLoad>, Vec<RunName>, Vec<BestEffort>) {
        let (mut serving, mut runs, mut best_effort_tasks) = (Vec::new(), Vec::new(), Vec::new());
        for row in &report.runs {
            let Some(step) = state.step(row.run.task) else { continue };
            serving.extend(self.interference.serving(now, row.run, step).filter(|_| at_work(row)));
            let best_effort = self.interference.best_effort(step, report.milli_cpu);
            if let Some(best_effort) = best_effort.filter(|_| !self.unwanted.contains(&row.run)) {
                runs.push(row.run);
                best_effort_tasks.push(best_effort);
            }
        }
        (serving, runs, best_effort_tasks)
    }
}

/// Returns whether a run will be done about as soon as a move would take effect.
fn nearly_done(report: &Report, run: RunName) -> bool {
    report.runs.iter().any(|row| row.run == run && row.percent >= NEARLY_DONE_PERCENT)
}
