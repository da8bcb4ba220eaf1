//! What the gateway works with.

use std::sync::Arc;

use jasminebend_base::{
    Configuration,
    VmSnapshot, //
};
use jasminebend_ports::{
    ClockSource,
    OwnershipView,
    TableService, //
};
use tokio::sync::watch;

/// What the gateway works with.
pub struct GatewayEdges {
    /// The slot shares that this daemon holds.
    pub ownership: Arc<dyn OwnershipView>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// The latest reading of the VM list.
    pub vms: watch::Receiver<Arc<VmSnapshot>>,
    /// Where the idempotency keys are kept.
    pub table: Arc<dyn TableService>,
    /// The clock; every deadline is counted on it.
    pub clock: Arc<dyn ClockSource>,
    /// The seed of every random pick.
    pub seed: u64,
}
