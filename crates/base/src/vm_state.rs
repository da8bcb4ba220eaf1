//! The state of a VM in the VM list.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The state of a VM in the VM list. The list may be stale: the VM's actual state may have changed
/// since.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs and accepts new work.
    #[default]
    #[display("live")]
    Live,
    /// The VM is about to be stopped and accepts no new work.
    #[display("leaving")]
    Leaving,
}
