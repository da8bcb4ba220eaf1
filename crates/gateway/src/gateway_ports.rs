//! [`GatewayPorts`]: what the gateway depends on.

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

/// What the gateway depends on: its data sources, the table and the clock.
pub struct GatewayPorts {
    /// Which slot shares this daemon holds, and under which epoch.
    pub ownership: Arc<dyn OwnershipView>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// The latest snapshot of the VM list.
    pub vms: watch::Receiver<Arc<VmSnapshot>>,
    /// The table that stores the idempotency keys and the directory of peers.
    pub table: Arc<dyn TableService>,
    /// The clock by which all deadlines are computed.
    pub clock: Arc<dyn ClockSource>,
    /// The seed of the random choices between endpoints.
    pub seed: u64,
}
