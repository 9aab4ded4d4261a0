//! Resource amounts: what a VM provides or a task needs.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Size {
    /// Processors, in thousandths.
    pub milli_cpu: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Size {
    /// Creates an amount from its three parts.
    pub fn new(milli_cpu: u32, memory_mib: u32, accelerators: u32) -> Size {
        Size { milli_cpu, memory_mib, accelerators }
    }

    /// Returns whether all three resources fit into `capacity`.
    pub fn fits(self, capacity: Size) -> bool {
        self.milli_cpu <= capacity.milli_cpu
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of both amounts, saturating at the maximum.
    pub fn plus(self, other: Size) -> Size {
        Size {
            milli_cpu: self.milli_cpu.saturating_add(other.milli_cpu),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the amount that remains after subtracting `other`, saturating at zero.
    pub fn minus(self, other: Size) -> Size {
        Size {
            milli_cpu: self.milli_cpu.saturating_sub(other.milli_cpu),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cpu = f64::from(self.milli_cpu) / 1000.0;
        write!(f, "{cpu} processors, {} MiB", self.memory_mib)?;
        if self.accelerators > 0 {
            write!(f, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
