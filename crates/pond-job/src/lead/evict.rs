//! Moves filling runs away from serving ones that they disturb.

use pond_proto::Millis;
use pond_proto::fleet::Report;
use pond_proto::job::RunName;

use super::colocation::{BestEffort, ServingLoad, at_work, permille};
use super::{Decision, Leader, Output};
use crate::state::State;

/// From this part of its work on, in percent, a run is left to end by itself: a move costs it more
/// than it spares the others. If it lasts after all, the agent slows it down.
const NEARLY_DONE_PERCENT: u32 = 50;

/// A task is moved at most so often: what it disturbs after that its agent slows it down for. A move throws away what it
/// cannot save, so one that is moved wherever it begins would never be done.
const MAX_MOVES: u32 = 2;

impl Leader {
    /// Stops the filling runs that are why a serving run beside them will miss its target, so that
    /// they go on elsewhere. To slow them down would cost them more: a stopped run keeps its save.
    pub(super) fn evict(&mut self, state: &State, now: Millis, incarnation: &str, report: &Report) {
        let (serving, runs, best_effort_tasks) = self.colocated(state, now, report);
        let culprits = self.interference.culprits(&serving, &best_effort_tasks);
        if culprits.is_empty() {
            return;
        }
        let excess = self.interference.excess(&serving, &best_effort_tasks);
        for i in culprits {
            // A run that was tried has waited long enough; its agent slows it down if need be.
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

    /// The serving tasks of a report, and its filling runs that are not moved already.
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

/// Whether a run will be done about as soon as a move would show.
fn nearly_done(report: &Report, run: RunName) -> bool {
    report.runs.iter().any(|row| row.run == run && row.percent >= NEARLY_DONE_PERCENT)
}
