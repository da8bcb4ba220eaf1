//! The services and inputs that a planner depends on.

use std::sync::Arc;

use jasminebend_base::{
    Configuration,
    VmSnapshot, //
};
use jasminebend_ports::{
    ClockSource,
    ObjectStore,
    OwnershipView,
    TableService,
    WorkerPort, //
};
use tokio::sync::watch;

/// The services and inputs that a planner depends on.
#[derive(Clone)]
pub struct PlannerPorts {
    /// The shards and other resources that this daemon owns.
    pub ownership: Arc<dyn OwnershipView>,
    /// The newest cluster configuration.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// The newest list of VMs.
    pub vms: watch::Receiver<Arc<VmSnapshot>>,
    /// The transactional table that stores jobs and journals.
    pub table: Arc<dyn TableService>,
    /// The store of snapshots and large results.
    pub objects: Arc<dyn ObjectStore>,
    /// Sends calls to workers.
    pub workers: Arc<dyn WorkerPort>,
    /// The monotonic and wall clock.
    pub clock: Arc<dyn ClockSource>,
    /// Seed of the random identifiers; must differ between daemons and between restarts of a
    /// daemon.
    pub seed: u64,
}
