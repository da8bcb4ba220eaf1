//! The content of the VM list at one revision.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::VmRecord;

/// The content of the VM list at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmSnapshot {
    /// The revision of the list, which increases with each change. A snapshot with a lower revision
    /// never replaces one with a higher revision.
    pub revision: u64,
    /// The listed VMs, in the order of the list.
    pub vms: Vec<VmRecord>,
}
