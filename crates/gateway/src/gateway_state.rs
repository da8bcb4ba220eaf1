//! What the gateway's parts share.

use std::sync::{
    Arc,
    PoisonError,
    RwLock,
    atomic::AtomicBool, //
};

use indexmap::IndexMap;
use jasminebend_base::ServiceName;
use jasminebend_ports::{
    ClockSource,
    OwnershipView, //
};
use tokio::sync::{
    Notify,
    Semaphore, //
};

use crate::{
    gateway_edges::GatewayEdges,
    gateway_settings::GatewaySettings,
    key_store::KeyStore,
    peer_directory::PeerDirectory,
    pool_refresh::HeldShares,
    route_snapshot::RouteSnapshot,
    service_pool::ServicePool, //
};

/// What the gateway's parts share.
pub(crate) struct GatewayState {
    /// The settings.
    pub(crate) settings: Arc<GatewaySettings>,
    /// The slot shares that this daemon holds.
    pub(crate) ownership: Arc<dyn OwnershipView>,
    /// The clock.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// The idempotency keys.
    pub(crate) keys: Arc<KeyStore>,
    /// The other daemons.
    pub(crate) peers: PeerDirectory,
    /// The seed of the random picks.
    pub(crate) seed: u64,
    /// Told whenever a slot falls idle.
    pub(crate) slot_idle: Arc<Notify>,
    /// Whether a request found the keeper's last look at the shares outdated.
    pub(crate) refresh_requested: AtomicBool,
    /// The bytes of bodies that may still be held in memory.
    pub(crate) buffered_body_permits: Arc<Semaphore>,
    routes: RwLock<Arc<RouteSnapshot>>,
    pools: RwLock<IndexMap<ServiceName, Arc<ServicePool>>>,
}

impl GatewayState {
    /// Creates a gateway without routes.
    pub(crate) fn new(settings: GatewaySettings, edges: &GatewayEdges) -> Self {
        let keys = KeyStore::new(
            Arc::clone(&edges.table),
            Arc::clone(&edges.clock),
            settings.key_retention,
        );
        let buffered_body_permits = Arc::new(Semaphore::new(settings.max_total_buffered_bytes));
        Self {
            settings: Arc::new(settings),
            ownership: Arc::clone(&edges.ownership),
            clock: Arc::clone(&edges.clock),
            keys: Arc::new(keys),
            peers: PeerDirectory::new(Arc::clone(&edges.table)),
            seed: edges.seed,
            slot_idle: Arc::new(Notify::new()),
            refresh_requested: AtomicBool::new(false),
            buffered_body_permits,
            routes: RwLock::default(),
            pools: RwLock::default(),
        }
    }

    /// Returns the shares that may be used now.
    pub(crate) fn held_shares(&self) -> HeldShares {
        let ownership = &self.ownership;
        let held = ownership.held().into_iter();
        held.filter(|(resource, _)| ownership.idle_for(*resource).is_zero())
            .collect()
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<RouteSnapshot> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&routes)
    }

    /// Puts routes in force.
    pub(crate) fn set_routes(&self, routes: RouteSnapshot) {
        let mut current = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(routes);
    }

    /// Returns all pools.
    pub(crate) fn pools(&self) -> Vec<Arc<ServicePool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.values().cloned().collect()
    }

    /// Returns a service's pool, made if there is none. Pools stay for good: a class that returns
    /// must find the slots that its service's earlier requests still hold.
    pub(crate) fn pool(&self, service: &ServiceName) -> Arc<ServicePool> {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        // CAST: a `usize` of these machines fits a `u64`.
        let seed = self.seed.wrapping_add(pools.len() as u64);
        let pool = pools.entry(service.clone()).or_insert_with(|| {
            let settings = Arc::clone(&self.settings);
            let clock = Arc::clone(&self.clock);
            let slot_idle = Arc::clone(&self.slot_idle);
            Arc::new(ServicePool::new(
                service.clone(),
                settings,
                clock,
                slot_idle,
                seed,
            ))
        });
        Arc::clone(pool)
    }
}
