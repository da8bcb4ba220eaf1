//! The VM list's record of a VM.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DomainName,
    EndpointRecord,
    VmName,
    VmState,
    WorkerRecord, //
};

/// The VM list's record of a VM. A VM may run an endpoint and a worker at the same time, so that
/// services share VMs with batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// The name that the platform gives the VM.
    pub name: VmName,
    /// The incarnation of the VM; it differs each time that a VM of this name is created.
    pub incarnation: u64,
    /// The failure domain to which the VM belongs.
    pub domain: DomainName,
    /// Whether the VM accepts new work.
    pub state: VmState,
    /// The endpoint that runs on the VM, if any.
    #[serde(default)]
    pub executor: Option<EndpointRecord>,
    /// The worker that runs on the VM, if any.
    #[serde(default)]
    pub worker: Option<WorkerRecord>,
}
