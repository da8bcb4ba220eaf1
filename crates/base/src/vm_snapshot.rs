//! One reading of the VM list.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::VmRecord;

/// One reading of the VM list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmSnapshot {
    /// Grows with each change of the list; an older snapshot never replaces a newer one.
    pub revision: u64,
    /// The VMs that are listed, in the list's order.
    pub vms: Vec<VmRecord>,
}
