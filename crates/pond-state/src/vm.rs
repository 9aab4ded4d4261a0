//! VMs as the state knows them.

use std::collections::BTreeSet;

use pond_proto::{Labels, Millis, Presence, Selector, Size, Span, UnitName, Vm, VmKey};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What is believed of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Liveness {
    /// Listed, and its worker answers.
    Live,
    /// Listed or answering a moment ago, but not both; takes no new work.
    #[default]
    Suspect,
    /// Going away; its work is moved.
    Leaving,
    /// Every lease on it has surely run out.
    Gone,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its key.
    pub key: VmKey,
    /// As the platform lists it.
    pub vm: Vm,
    /// Labels that operators set; they go before the platform's.
    pub set: Labels,
    /// Keys that operators removed.
    pub unset: Vec<String>,
    /// An operator took it out of use.
    pub drained: bool,
    /// What is believed of it.
    pub liveness: Liveness,
    /// What its tasks take, unconfirmed starts and stops in progress among them.
    pub taken: Size,
    /// Units that failed here since the last one that came to its end.
    pub failed: BTreeSet<UnitName>,
    /// When the last one failed.
    pub failed_at: Millis,
    /// How often it was put into quarantine since the last one that came to its end.
    pub quarantines: u32,
    /// An operator evacuated its data centre. (Snapshots of earlier versions have none.)
    #[serde(default)]
    pub evacuated: bool,
}

/// Whether a VM is believed to run what it is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// It is.
    Good,
    /// Too many different units failed on it; it gets nothing.
    Quarantined,
    /// Its quarantine is over; it gets one job to show that it is well.
    Probe,
}

/// Different units that must fail on a VM before it is put into quarantine.
const EVIDENCE: usize = 3;

/// How long the first quarantine lasts, in milliseconds; doubled with each that follows.
const QUARANTINE_MS: Span = 60_000;

/// How often the time is doubled at most.
const DOUBLINGS: u32 = 5;

impl VmRecord {
    /// A VM that was just listed.
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

    /// Its labels with the operators' changes.
    pub fn labels(&self) -> Labels {
        let mut labels = self.vm.labels.clone();
        labels.retain(|key, _| !self.unset.contains(key));
        labels.extend(self.set.clone());
        labels
    }

    /// The value of one label with the operators' changes.
    pub fn label(&self, key: &str) -> Option<&str> {
        let set = self.set.get(key).map(String::as_str);
        let removed = || self.unset.iter().any(|other| other == key);
        set.or_else(|| if removed() { None } else { self.vm.labels.get(key).map(String::as_str) })
    }

    /// Whether its labels meet a selector.
    pub fn matches(&self, selector: &Selector) -> bool {
        selector.terms.iter().all(|term| term.matches_value(self.label(&term.key)))
    }

    /// Takes in that a unit failed here.
    pub fn fail(&mut self, unit: &str, now: Millis) {
        self.failed.insert(unit.to_owned());
        self.failed_at = now;
        if self.failed.len() >= EVIDENCE {
            self.quarantines += 1;
        }
    }

    /// Takes in that a unit came to its end here.
    pub fn succeed(&mut self) {
        self.failed.clear();
        self.quarantines = 0;
    }

    /// Whether it is believed to run what it is given.
    pub fn trust(&self, now: Millis) -> Trust {
        if self.failed.len() < EVIDENCE {
            return Trust::Good;
        }
        let doublings = self.quarantines.saturating_sub(1).min(DOUBLINGS);
        if now < self.failed_at + (QUARANTINE_MS << doublings) {
            return Trust::Quarantined;
        }
        Trust::Probe
    }

    /// What it has left.
    pub fn free(&self) -> Size {
        self.vm.size.minus(self.taken)
    }

    /// Whether it takes new work.
    pub fn open(&self) -> bool {
        let listed = self.vm.presence == Presence::Live;
        listed && !self.drained && !self.evacuated && self.liveness == Liveness::Live
    }

    /// Whether its work shall go elsewhere.
    pub fn leaving(&self) -> bool {
        let leaving = self.vm.presence == Presence::Leaving || self.drained;
        leaving || self.liveness == Liveness::Leaving
    }
}
