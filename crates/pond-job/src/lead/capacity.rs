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
    pub(super) fn withdraw_excess(&mut self, state: &State, incarnation: &str) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let size = |run: RunName| state.step(run.task).map(|step| step.size());
        let staying = state.placed(incarnation).filter(|run| !self.unwanted.contains(run));
        let sizes: Vec<(RunName, Size)> =
            staying.filter_map(|run| Some((run, size(run)?))).collect();
        let mut taken = sizes.iter().fold(Size::default(), |taken, (_, size)| taken.plus(*size));
        for (run, size) in sizes.iter().rev() {
            if taken.fits(worker.capacity) {
                return;
            }
            if !worker.has_listed(*run) {
                taken = taken.minus(*size);
                self.unwanted.insert(*run);
                self.unreconciled.insert(incarnation.to_owned());
                self.dirty.insert(incarnation.to_owned());
            }
        }
    }
}
