//! Moves filling runs away from serving ones that they disturb.

use pond_proto::Millis;
use pond_proto::fleet::Report;
use pond_proto::job::RunName;

use super::beside::{Filler, Served, at_work, permille};
use super::{Decision, Leader, Output};
use crate::state::State;

/// From this part of its work on, in percent, a run is left to end by itself: a move costs it more
/// than it spares the others. If it lasts after all, the agent slows it down.
const SOON_DONE_PERCENT: u32 = 50;

/// A task is moved at most so often: what it disturbs after that its agent slows it down for. A move throws away what it
/// cannot save, so one that is moved wherever it begins would never be done.
const MOST_MOVES: u32 = 2;

impl Leader {
    /// Stops the filling runs that are why a serving run beside them will miss its target, so that
    /// they go on elsewhere. To slow them down would cost them more: a stopped run keeps its save.
    pub(super) fn evict(&mut self, state: &State, now: Millis, life: &str, report: &Report) {
        let (served, runs, fillers) = self.beside(state, now, report);
        let guilty = self.harm.guilty(&served, &fillers);
        if guilty.is_empty() {
            return;
        }
        let excess = self.harm.excess(&served, &fillers);
        for i in guilty {
            // A run that was tried has waited long enough; its agent slows it down if need be.
            let moved = self.moved.get(&runs[i].task).copied().unwrap_or(0);
            let stays = soon_done(report, runs[i]) || self.tried.contains(&runs[i]);
            if stays || moved >= MOST_MOVES || !self.unwanted.insert(runs[i]) {
                continue;
            }
            self.moved.insert(runs[i].task, moved + 1);
            let decision = Decision::Moved {
                run: runs[i],
                worker: life.to_owned(),
                excess_permille: permille(excess),
                added_permille: permille(self.harm.added(&served, &fillers[i])),
            };
            self.outputs.push(Output::Decided(decision));
        }
    }

    /// The serving tasks of a report, and its filling runs that are not moved already.
    fn beside(
        &mut self,
        state: &State,
        now: Millis,
        report: &Report,
    ) -> (Vec<Served>, Vec<RunName>, Vec<Filler>) {
        let (mut served, mut runs, mut fillers) = (Vec::new(), Vec::new(), Vec::new());
        for row in &report.runs {
            let Some(step) = state.step(row.run.task) else { continue };
            served.extend(self.harm.served(now, row.run, step).filter(|_| at_work(row)));
            let filler = self.harm.filler(step, report.milli_cpu);
            if let Some(filler) = filler.filter(|_| !self.unwanted.contains(&row.run)) {
                runs.push(row.run);
                fillers.push(filler);
            }
        }
        (served, runs, fillers)
    }
}

/// Whether a run will be done about as soon as a move would show.
fn soon_done(report: &Report, run: RunName) -> bool {
    report.runs.iter().any(|row| row.run == run && row.percent >= SOON_DONE_PERCENT)
}
