//! Withdrawal of runs that no longer fit on their worker.
//!
//! The capacity of a worker may shrink while it runs. Started runs stay: stopping them would
//! discard their work, and a worker with temporarily less capacity is only slower. Runs that have
//! not started are withdrawn before their order, or by a stop that overtakes it, since a worker
//! that does not enforce its capacity would start them.

use pond_proto::Size;
use pond_proto::job::RunName;

use super::Leader;
use crate::state::State;

impl Leader {
    /// Withdraws runs that have not started on an incarnation, the newest tasks first, until the
    /// rest fits.
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
