//! What the VM list says of a VM.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// What the VM list says of a VM; the list lags behind the truth.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is up.
    #[default]
    #[display("live")]
    Live,
    /// The VM is about to be stopped and takes no new work.
    #[display("leaving")]
    Leaving,
}
