//! VMs as the state knows them.

use pond_proto::{Labels, Presence, Size, Vm, VmKey};
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
}

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
        }
    }

    /// Its labels with the operators' changes.
    pub fn labels(&self) -> Labels {
        let mut labels = self.vm.labels.clone();
        labels.retain(|key, _| !self.unset.contains(key));
        labels.extend(self.set.clone());
        labels
    }

    /// What it has left.
    pub fn free(&self) -> Size {
        self.vm.size.minus(self.taken)
    }

    /// Whether it takes new work.
    pub fn open(&self) -> bool {
        let listed = self.vm.presence == Presence::Live;
        listed && !self.drained && self.liveness == Liveness::Live
    }

    /// Whether its work shall go elsewhere.
    pub fn leaving(&self) -> bool {
        let leaving = self.vm.presence == Presence::Leaving || self.drained;
        leaving || self.liveness == Liveness::Leaving
    }
}
