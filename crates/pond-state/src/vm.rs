//! VMs and their records in the replicated state.

use std::collections::BTreeSet;

use pond_proto::{Labels, Millis, Presence, Selector, Size, Span, UnitName, Vm, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The liveness of a VM as judged by the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Liveness {
    /// The VM is listed and its worker answers.
    Live,
    /// The VM is missing from the list, or its worker does not answer; it accepts no new work.
    #[default]
    Suspect,
    /// The VM is leaving; its work is moved.
    Leaving,
    /// The VM is missing from the list, and every lease on it has certainly expired.
    Gone,
}

/// The record of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its key.
    pub key: VmKey,
    /// The VM as the platform lists it.
    pub vm: Vm,
    /// Labels that operators set; they override the platform's.
    pub set: Labels,
    /// Keys of labels that operators removed.
    pub unset: Vec<String>,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Its liveness.
    pub liveness: Liveness,
    /// The resources that its tasks take, including unconfirmed starts and stops in progress.
    pub taken: Size,
    /// The units that failed here since the last task that finished.
    pub failed: BTreeSet<UnitName>,
    /// When a unit last failed here.
    pub failed_at: Millis,
    /// The number of quarantines since the last task that finished.
    pub quarantines: u32,
    /// Whether an operator has evacuated its data centre. Snapshots of earlier versions lack this
    /// field.
    #[serde(default)]
    pub evacuated: bool,
}

/// Whether a VM is trusted with work, given the failures on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// The VM is trusted.
    Good,
    /// Too many different units failed on the VM; it gets no work.
    Quarantined,
    /// The quarantine is over; the VM gets one job at a time as a test.
    Probe,
}

/// Number of different units that must fail on a VM before it is put into quarantine.
const QUARANTINE_FAILURES: usize = 3;

/// Duration of the first quarantine, in milliseconds; it doubles with each further one.
const QUARANTINE_MS: Span = 60_000;

/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: u32 = 5;

impl VmRecord {
    /// Creates the record of a VM that was just listed.
    pub fn new(key: VmKey, vm: Vm) -> VmRecord {
        VmRecord {
            key,
            vm,
            set: Labels::new(),
            unset: Vec::new(),
            drained: false,
            liveness: Liveness::Suspect,
            taken: Size::default(),
            failed: BTreeSet::new(),
            failed_at: Millis(0),
            quarantines: 0,
            evacuated: false,
        }
    }

    /// Returns its labels with the operators' changes.
    pub fn labels(&self) -> Labels {
        let mut labels = self.vm.labels.clone();
        labels.retain(|key, _| !self.unset.contains(key));
        labels.extend(self.set.clone());
        labels
    }

    /// Returns the value of one label with the operators' changes.
    pub fn label(&self, key: &str) -> Option<&str> {
        let set = self.set.get(key).map(String::as_str);
        let removed = || self.unset.iter().any(|other| other == key);
        set.or_else(|| if removed() { None } else { self.vm.labels.get(key).map(String::as_str) })
    }

    /// Returns whether its labels match a selector.
    pub fn matches(&self, selector: &Selector) -> bool {
        selector.terms.iter().all(|term| term.matches_value(self.label(&term.key)))
    }

    /// Records that a unit failed here.
    pub fn record_failure(&mut self, unit: &str, now: Millis) {
        self.failed.insert(unit.to_owned());
        self.failed_at = now;
        if self.failed.len() >= QUARANTINE_FAILURES {
            self.quarantines += 1;
        }
    }

    /// Records that a task finished here.
    pub fn record_success(&mut self) {
        self.failed.clear();
        self.quarantines = 0;
    }

    /// Returns whether the VM is trusted with work now.
    pub fn trust(&self, now: Millis) -> Trust {
        if self.failed.len() < QUARANTINE_FAILURES {
            return Trust::Good;
        }
        let doublings = self.quarantines.saturating_sub(1).min(MAX_DOUBLINGS);
        if now < self.failed_at + (QUARANTINE_MS << doublings) {
            return Trust::Quarantined;
        }
        Trust::Probe
    }

    /// Returns its free resources.
    pub fn free(&self) -> Size {
        self.vm.size.minus(self.taken)
    }

    /// Returns whether it accepts new work.
    pub fn open(&self) -> bool {
        let listed = self.vm.presence == Presence::Live;
        listed && !self.drained && !self.evacuated && self.liveness == Liveness::Live
    }

    /// Returns whether its work must be moved to other VMs.
    pub fn leaving(&self) -> bool {
        let leaving = self.vm.presence == Presence::Leaving || self.drained;
        leaving || self.liveness == Liveness::Leaving
    }
}
