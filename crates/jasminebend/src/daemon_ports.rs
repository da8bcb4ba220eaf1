//! The ports of a daemon.

use std::sync::Arc;

use jasminebend_ports::{
    ClockSource,
    ObjectStore,
    TableService,
    VmList,
    WorkerPort, //
};

/// The ports of a daemon: its interfaces to the platform and the workers.
#[derive(Clone)]
pub struct DaemonPorts {
    /// The platform's table service.
    pub table: Arc<dyn TableService>,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's VM list.
    pub vm_list: Arc<dyn VmList>,
    /// The interface to the workers.
    pub workers: Arc<dyn WorkerPort>,
    /// The source of monotonic and wall-clock time.
    pub clock: Arc<dyn ClockSource>,
    /// The seed of the random number generators; must differ between daemons and between restarts.
    pub seed: u64,
}
