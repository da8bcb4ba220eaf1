//! An amount of compute resources.

use derive_more::{
    Add,
    AddAssign,
    Sub, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// An amount of compute resources: processors, memory and accelerators.
#[derive(
    Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize, Sub,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceAmount {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// The number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl ResourceAmount {
    /// Creates an amount without accelerators.
    pub fn new(cpu_millis: u64, memory_mib: u64) -> Self {
        Self {
            cpu_millis,
            memory_mib,
            accelerators: 0,
        }
    }

    /// Sets the number of accelerators.
    pub fn with_accelerators(mut self, accelerators: u64) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// Returns whether each component of this amount is at most that of `capacity`.
    pub fn fits_in(self, capacity: Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the component-wise maximum.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Subtracts each component, with zero as the lower bound.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
