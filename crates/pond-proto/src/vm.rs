//! VMs as the platform lists them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Labels, Size};

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It may take work.
    #[default]
    Live,
    /// It is going away and takes no new work.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Vm {
    /// The platform's name for it; unique for as long as the VM lives.
    pub name: String,
    /// Labels such as `data-centre` and `rack`.
    #[serde(default)]
    pub labels: Labels,
    /// What it has to give.
    pub size: Size,
    /// Address of its worker, as `ip:port`.
    pub worker: String,
    /// Address of the endpoint process beside its endpoints, as `ip:port`, if it has one.
    #[serde(default)]
    pub endpoint_process: Option<String>,
    /// Live or leaving.
    #[serde(default)]
    pub presence: Presence,
}

impl Vm {
    /// The label that names a VM's data centre.
    pub const DATA_CENTRE: &'static str = "data-centre";

    /// The label that names a VM's rack.
    pub const RACK: &'static str = "rack";

    /// The data centre of the VM, or the empty string where it is not labelled.
    pub fn data_centre(&self) -> &str {
        self.labels.get(Vm::DATA_CENTRE).map_or("", String::as_str)
    }
}
