//! Moves filling runs away from serving ones that they disturb.

use pond_proto::Millis;
use pond_proto::fleet::Report;
use pond_proto::job::RunName;

use super::beside::{Filler, Served, at_work, permille};
use super::{Decision, Leader, Output};
use crate::state::State;

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
            if !self.unwanted.insert(runs[i]) {
                continue;
            }
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
        &self,
        state: &State,
        now: Millis,
        report: &Report,
    ) -> (Vec<Served>, Vec<RunName>, Vec<Filler>) {
        let (mut served, mut runs, mut fillers) = (Vec::new(), Vec::new(), Vec::new());
        for row in &report.runs {
            let Some(step) = state.step(row.run.task) else { continue };
            served.extend(self.harm.served(now, row.run, step).filter(|_| at_work(row)));
            let filler = Filler::of(step, report.milli_cpu);
            if let Some(filler) = filler.filter(|_| !self.unwanted.contains(&row.run)) {
                runs.push(row.run);
                fillers.push(filler);
            }
        }
        (served, runs, fillers)
    }
}
