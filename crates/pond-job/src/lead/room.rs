//! Takes back what was given to a worker and does not fit there any more.
//!
//! A worker's room may shrink while it runs. What runs stays: stopping it would throw its work away, and a
//! worker that has less for a while gets on more slowly. What has not begun is taken back before its order,
//! or by a stop that overtakes it, as a worker that does not guard its room would start it.

use pond_proto::Size;
use pond_proto::job::RunName;

use super::Leader;
use crate::state::State;

impl Leader {
    /// Takes back runs that have not begun on a life, the newest tasks first, until the rest fits.
    pub(super) fn withdraw_misfits(&mut self, state: &State, life: &str) {
        let Some(worker) = self.workers.get(life) else { return };
        let size = |run: RunName| state.step(run.task).map(|step| step.size());
        let staying = state.placed(life).filter(|run| !self.unwanted.contains(run));
        let sizes: Vec<(RunName, Size)> =
            staying.filter_map(|run| Some((run, size(run)?))).collect();
        let mut taken = sizes.iter().fold(Size::default(), |taken, (_, size)| taken.plus(*size));
        for (run, size) in sizes.iter().rev() {
            if taken.fits(worker.room) {
                return;
            }
            if !worker.has_listed(*run) {
                taken = taken.minus(*size);
                self.unwanted.insert(*run);
                self.unsettled.insert(life.to_owned());
                self.dirty.insert(life.to_owned());
            }
        }
    }
}
