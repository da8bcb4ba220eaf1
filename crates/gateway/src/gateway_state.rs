//! [`GatewayState`]: the state that the parts of the gateway share.

use std::sync::{
    Arc,
    PoisonError,
    RwLock,
    atomic::AtomicBool, //
};

use indexmap::IndexMap;
use jasminebend_base::ServiceName;
use jasminebend_ingress::{
    ConnectionLimits,
    ConnectionTable, //
};
use jasminebend_ports::{
    ClockSource,
    OwnershipView, //
};
use tokio::sync::Notify;

use crate::{
    gateway_ports::GatewayPorts,
    gateway_settings::GatewaySettings,
    key_store::KeyStore,
    peer_directory::PeerDirectory,
    pool_refresh::HeldShares,
    route_snapshot::RouteSnapshot,
    service_pool::ServicePool, //
};

/// The smallest buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// The state that the parts of the gateway share.
pub(crate) struct GatewayState {
    /// The settings of the gateway.
    pub(crate) settings: Arc<GatewaySettings>,
    /// Which slot shares this daemon holds, and under which epoch.
    pub(crate) ownership: Arc<dyn OwnershipView>,
    /// The clock by which all deadlines are computed.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// Reserves idempotency keys and records the outcomes of their requests.
    pub(crate) keys: Arc<KeyStore>,
    /// The daemons that requests can be forwarded to.
    pub(crate) peers: PeerDirectory,
    /// Seeds the random choices between endpoints.
    pub(crate) seed: u64,
    /// Notified whenever a slot becomes idle.
    pub(crate) slot_idle: Arc<Notify>,
    /// Set by a request that found the held shares as of the last refresh to be outdated; the next
    /// tick then refreshes all pools.
    pub(crate) refresh_requested: AtomicBool,
    /// The connections of callers, with the memory of the bodies that are buffered.
    pub(crate) callers: ConnectionTable,
    routes: RwLock<Arc<RouteSnapshot>>,
    pools: RwLock<IndexMap<ServiceName, Arc<ServicePool>>>,
}

impl GatewayState {
    /// Creates the state without routes and pools.
    pub(crate) fn new(settings: GatewaySettings, ports: &GatewayPorts) -> Self {
        let keys = KeyStore::new(
            Arc::clone(&ports.table),
            Arc::clone(&ports.clock),
            settings.key_retention,
        );
        let callers = ConnectionTable::new(ConnectionLimits {
            connections: settings.max_callers,
            request_bytes: settings.max_total_buffered_bytes,
            head_bytes: settings.max_head_bytes.max(MIN_HEAD_BYTES),
        });
        Self {
            settings: Arc::new(settings),
            ownership: Arc::clone(&ports.ownership),
            clock: Arc::clone(&ports.clock),
            keys: Arc::new(keys),
            peers: PeerDirectory::new(Arc::clone(&ports.table)),
            seed: ports.seed,
            slot_idle: Arc::new(Notify::new()),
            refresh_requested: AtomicBool::new(false),
            callers,
            routes: RwLock::default(),
            pools: RwLock::default(),
        }
    }

    /// Returns the shares that this daemon holds and may use now: those whose idle time is over.
    pub(crate) fn held_shares(&self) -> HeldShares {
        let ownership = &self.ownership;
        let held = ownership.owned_resources().into_iter();
        held.filter(|(resource, _)| ownership.remaining_takeover_delay(*resource).is_zero())
            .collect()
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<RouteSnapshot> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&routes)
    }

    /// Replaces the routes in force.
    pub(crate) fn set_routes(&self, routes: RouteSnapshot) {
        let mut current = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(routes);
    }

    /// Returns the pools of all services.
    pub(crate) fn pools(&self) -> Vec<Arc<ServicePool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.values().cloned().collect()
    }

    /// Returns the pool of a service, and creates it if there is none. Pools are never removed: a
    /// class that is configured again must find the slots that earlier requests of its service
    /// still occupy.
    pub(crate) fn pool(&self, service: &ServiceName) -> Arc<ServicePool> {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        // CAST: a `usize` of the supported targets fits a `u64`.
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
