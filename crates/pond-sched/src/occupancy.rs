//! What ran on each VM in the last minutes, so that a late report is held against what was there
//! when it was taken, and not against what is there now.

use std::collections::{HashMap, VecDeque};

use pond_proto::{Millis, Span, VmKey};

use crate::harm::Beside;

/// How far back it reaches, in milliseconds.
const KEPT_MS: Span = 180_000;

/// After a change of what runs, measurements of this long may still show what was there before.
const SETTLE_MS: Span = 1_000;

/// The batch work on one VM from one moment on.
#[derive(Clone, Debug)]
struct Stretch {
    since: Millis,
    beside: Vec<Beside>,
}

/// The batch work on all VMs, lately.
#[derive(Debug, Default)]
pub struct Occupancy {
    vms: HashMap<VmKey, VecDeque<Stretch>>,
}

impl Occupancy {
    /// Takes in what runs on a VM now.
    pub fn note(&mut self, vm: VmKey, now: Millis, beside: Vec<Beside>) {
        let stretches = self.vms.entry(vm).or_default();
        if stretches.back().is_some_and(|last| last.beside == beside) {
            return;
        }
        stretches.push_back(Stretch { since: now, beside });
        while stretches.len() > 1 && now.since(stretches[1].since) > KEPT_MS {
            stretches.pop_front();
        }
    }

    /// What ran on a VM when a measurement was taken; none if it had just changed or is forgotten.
    pub fn at(&self, vm: VmKey, measured: Millis) -> Option<&[Beside]> {
        let stretches = self.vms.get(&vm)?;
        let place = stretches.iter().rposition(|stretch| stretch.since <= measured)?;
        let stretch = &stretches[place];
        (measured.since(stretch.since) >= SETTLE_MS).then_some(stretch.beside.as_slice())
    }

    /// Since when the same work runs on a VM.
    pub fn since(&self, vm: VmKey) -> Option<Millis> {
        self.vms.get(&vm)?.back().map(|stretch| stretch.since)
    }

    /// Forgets VMs that are no more.
    pub fn keep(&mut self, exists: impl Fn(VmKey) -> bool) {
        self.vms.retain(|vm, _| exists(*vm));
    }
}
