//! What a planner reaches outside itself.

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

/// What a planner reaches outside itself.
#[derive(Clone)]
pub struct PlannerEdges {
    /// What this daemon holds.
    pub ownership: Arc<dyn OwnershipView>,
    /// The newest configuration.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// The newest VM list.
    pub vms: watch::Receiver<Arc<VmSnapshot>>,
    /// The table service.
    pub table: Arc<dyn TableService>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The workers.
    pub workers: Arc<dyn WorkerPort>,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// The seed of the identities that are drawn; differs between daemons and their restarts.
    pub seed: u64,
}
