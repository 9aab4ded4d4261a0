//! VMs as listed by the platform.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Labels, Size};

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// The VM accepts work.
    #[default]
    Live,
    /// The VM will be removed and accepts no new work.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Vm {
    /// Name of the VM on the platform; unique as long as the VM exists.
    pub name: String,
    /// Labels such as `data-centre` and `rack`.
    #[serde(default)]
    pub labels: Labels,
    /// Capacity of the VM.
    pub size: Size,
    /// Address of the VM's worker, as `ip:port`.
    pub worker: String,
    /// Address of the endpoint process on the VM, as `ip:port`, if there is one.
    #[serde(default)]
    pub endpoint_process: Option<String>,
    /// Whether the VM is live or leaving.
    #[serde(default)]
    pub presence: Presence,
}

impl Vm {
    /// Key of the label that names the data centre of a VM.
    pub const DATA_CENTRE: &'static str = "data-centre";

    /// Key of the label that names the rack of a VM.
    pub const RACK: &'static str = "rack";

    /// Returns the data centre of the VM, or an empty string if the VM has no such label.
    pub fn data_centre(&self) -> &str {
        self.labels.get(Vm::DATA_CENTRE).map_or("", String::as_str)
    }
}
