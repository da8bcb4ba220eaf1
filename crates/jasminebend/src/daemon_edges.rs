//! What a daemon reaches outside its process.

use std::sync::Arc;

use jasminebend_ports::{
    ClockSource,
    ObjectStore,
    TableService,
    VmList,
    WorkerPort, //
};

/// What a daemon reaches outside its process.
#[derive(Clone)]
pub struct DaemonEdges {
    /// The platform's table service.
    pub table: Arc<dyn TableService>,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's VM list.
    pub vm_list: Arc<dyn VmList>,
    /// The workers.
    pub workers: Arc<dyn WorkerPort>,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// What every draw starts from; differs between daemons and between their restarts.
    pub seed: u64,
}
