//! A VM as the VM list describes it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DomainName,
    ExecutorRecord,
    VmName,
    VmState,
    WorkerRecord, //
};

/// A VM as the VM list describes it. A VM may be an executor and a worker at once: services share
/// VMs with batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// The platform's name of it.
    pub name: VmName,
    /// Differs each time that a VM of this name is made anew.
    pub incarnation: u64,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Live or leaving.
    pub state: VmState,
    /// The endpoint that runs on it, if any.
    #[serde(default)]
    pub executor: Option<ExecutorRecord>,
    /// The worker that runs on it, if any.
    #[serde(default)]
    pub worker: Option<WorkerRecord>,
}
