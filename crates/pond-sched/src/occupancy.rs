//! The recent history of the batch work on each VM, so that a delayed report is compared with the
//! work that ran when it was taken, and not with the work that runs now.

use std::collections::{HashMap, VecDeque};

use pond_proto::{Millis, Span, VmKey};

use crate::interference::Colocated;

/// How long the history is kept, in milliseconds.
const RETENTION_MS: Span = 180_000;

/// Time after a change of the batch work during which measurements may still reflect the previous
/// work, in milliseconds.
const SETTLING_MS: Span = 1_000;

/// The batch work on one VM from a point in time on.
#[derive(Clone, Debug)]
struct Interval {
    since: Millis,
    colocated: Vec<Colocated>,
}

/// The recent batch work on all VMs.
#[derive(Debug, Default)]
pub struct Occupancy {
    vms: HashMap<VmKey, VecDeque<Interval>>,
}

impl Occupancy {
    /// Records the batch work that runs on a VM now.
    pub fn record(&mut self, vm: VmKey, now: Millis, colocated: Vec<Colocated>) {
        let intervals = self.vms.entry(vm).or_default();
        if intervals.back().is_some_and(|last| last.colocated == colocated) {
            return;
        }
        intervals.push_back(Interval { since: now, colocated });
        while intervals.len() > 1 && now.since(intervals[1].since) > RETENTION_MS {
            intervals.pop_front();
        }
    }

    /// Returns the batch work on a VM when a measurement was taken, or `None` if the work had just
    /// changed or is no longer in the history.
    pub fn at(&self, vm: VmKey, measured: Millis) -> Option<&[Colocated]> {
        let intervals = self.vms.get(&vm)?;
        let place = intervals.iter().rposition(|interval| interval.since <= measured)?;
        let interval = &intervals[place];
        (measured.since(interval.since) >= SETTLING_MS).then_some(interval.colocated.as_slice())
    }

    /// Returns the time since which the batch work on a VM has not changed.
    pub fn since(&self, vm: VmKey) -> Option<Millis> {
        self.vms.get(&vm)?.back().map(|interval| interval.since)
    }

    /// Removes VMs that no longer exist.
    pub fn retain_vms(&mut self, exists: impl Fn(VmKey) -> bool) {
        self.vms.retain(|vm, _| exists(*vm));
    }
}
