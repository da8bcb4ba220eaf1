//! [`PoolUpdater`]: updates the pools by the configuration, the VM list and the held shares.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use indexmap::IndexSet;
use jasminebend_base::{
    Configuration,
    DomainState,
    EndpointRecord,
    VmRecord,
    VmSnapshot,
    VmState, //
};
use jasminebend_routing::RouteTable;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::watch;

use crate::{
    endpoint_entry::EndpointEntry,
    gateway_state::GatewayState,
    pool_refresh::{
        HeldShares,
        refresh_pool, //
    },
    pool_state::PoolState,
    route_snapshot::RouteSnapshot,
    service_pool::ServicePool,
    slot_key::EndpointKey, //
};

/// How often all slots are refreshed if no share changed: for slots that become usable with time,
/// backoffs that end, and connections that were idle for too long.
const FULL_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Why the pools are updated.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PoolUpdaterMessage {
    /// The configuration changed.
    Configuration,
    /// The VM list changed.
    Vms,
    /// The refresh interval has passed.
    Tick,
}

/// An actor that updates the pools by the configuration, the VM list and the held shares.
pub(crate) struct PoolUpdater;

/// The state of the [`PoolUpdater`].
#[derive(Clone)]
pub(crate) struct PoolUpdaterState {
    /// The shared state with the pools.
    pub(crate) shared: Arc<GatewayState>,
    /// The configuration in force.
    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    /// The latest snapshot of the VM list.
    pub(crate) vms: watch::Receiver<Arc<VmSnapshot>>,
    /// The held shares as of the last refresh of all slots.
    pub(crate) last_held_shares: HeldShares,
    /// When all slots were last refreshed, on the monotonic clock.
    pub(crate) last_full_refresh: Duration,
}

impl Actor for PoolUpdater {
    type Msg = PoolUpdaterMessage;
    type State = PoolUpdaterState;
    type Arguments = PoolUpdaterState;

    async fn pre_start(
        &self,
        myself: ActorRef<PoolUpdaterMessage>,
        state: PoolUpdaterState,
    ) -> Result<PoolUpdaterState, ActorProcessingErr> {
        forward_changes(
            state.configuration.clone(),
            myself.clone(),
            PoolUpdaterMessage::Configuration,
        );
        forward_changes(state.vms.clone(), myself.clone(), PoolUpdaterMessage::Vms);
        myself.send_interval(state.shared.settings.refresh_interval, || {
            PoolUpdaterMessage::Tick
        });
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<PoolUpdaterMessage>,
        message: PoolUpdaterMessage,
        state: &mut PoolUpdaterState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PoolUpdaterMessage::Configuration => {
                state.set_routes();
                state.set_endpoints();
            }
            PoolUpdaterMessage::Vms => state.set_endpoints(),
            PoolUpdaterMessage::Tick => {
                state.refresh_if_due();
                return Ok(());
            }
        }
        state.refresh();
        Ok(())
    }
}

/// Sends a message to the updater for each change. Ends when the channel closes or the updater
/// stops.
fn forward_changes<Value>(
    mut changes: watch::Receiver<Value>,
    pool_updater: ActorRef<PoolUpdaterMessage>,
    message: PoolUpdaterMessage,
) where
    Value: Send + Sync + 'static,
{
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            if pool_updater.cast(message).is_err() {
                return;
            }
        }
    });
}

impl PoolUpdaterState {
    /// Applies the routes of the configuration.
    pub(crate) fn set_routes(&mut self) {
        let configuration = Arc::clone(&self.configuration.borrow_and_update());
        let table = RouteTable::new(&configuration);
        let routes = RouteSnapshot::new(table, &self.shared.routes(), |entry| {
            self.shared.pool(&entry.service)
        });
        self.shared.set_routes(routes);
    }

    /// Opens and closes endpoints according to the VM list and the states of the failure domains.
    pub(crate) fn set_endpoints(&mut self) {
        let configuration = Arc::clone(&self.configuration.borrow());
        let snapshot = Arc::clone(&self.vms.borrow_and_update());
        let pools = self.shared.pools();
        for pool in &pools {
            let addresses_in_other_pools = addresses_in_use(&pools, pool);
            let executors = snapshot.vms.iter().filter_map(|vm| executor_for(vm, pool));
            let listed_addresses: IndexSet<_> =
                executors.map(|executor| executor.address).collect();
            let mut state = pool.lock();
            for entry in &mut state.endpoints {
                entry.open = false;
            }
            for vm in &snapshot.vms {
                let Some(executor) = executor_for(vm, pool) else {
                    continue;
                };
                if !addresses_in_other_pools.contains(&executor.address) {
                    self.set_endpoint(&mut state, vm, executor, &configuration);
                }
            }
            state.retire_unlisted(|address| listed_addresses.contains(address));
        }
    }

    /// Adds or updates the endpoint of a VM.
    fn set_endpoint(
        &self,
        state: &mut PoolState,
        vm: &VmRecord,
        executor: &EndpointRecord,
        configuration: &Configuration,
    ) {
        let settings = &self.shared.settings;
        let key = endpoint_key(state, executor, settings.slot_shares);
        let in_own_domain = vm.domain == settings.domain;
        let round_trip_time = match in_own_domain {
            true => Duration::ZERO,
            false => settings.cross_domain_round_trip_time,
        };
        let entry = state.entry(key);
        let is_domain_in = configuration.domain_state(&vm.domain) == DomainState::In;
        entry.open = vm.state == VmState::Live && is_domain_in;
        entry.score = entry.score.with_round_trip_time(round_trip_time);
        entry.set_connections(executor.connections);
    }

    /// Refreshes all slots if the held shares changed, a request found them outdated, or a full
    /// refresh is due. Refreshing all of them at each tick took 5.4% of a core at 8,900 endpoints.
    fn refresh_if_due(&mut self) {
        let held = self.shared.held_shares();
        let is_due =
            self.last_full_refresh + FULL_REFRESH_INTERVAL <= self.shared.clock.monotonic();
        if is_due
            || held != self.last_held_shares
            || self.shared.refresh_requested.swap(false, Ordering::Relaxed)
        {
            self.refresh_with(held);
        }
    }

    /// Refreshes all slots by the held shares and the clock, and assigns free slots to waiting
    /// requests.
    pub(crate) fn refresh(&mut self) {
        let held = self.shared.held_shares();
        self.refresh_with(held);
    }

    /// Refreshes all slots by these held shares.
    fn refresh_with(&mut self, held: HeldShares) {
        let now = self.shared.clock.monotonic();
        for pool in self.shared.pools() {
            refresh_pool(&pool, &held, now);
            pool.assign_free_slots();
        }
        self.shared.slot_idle.notify_waiters();
        self.last_held_shares = held;
        self.last_full_refresh = now;
    }
}

/// Returns the endpoint of the service of a pool on a VM.
fn executor_for<'a>(vm: &'a VmRecord, pool: &ServicePool) -> Option<&'a EndpointRecord> {
    vm.executor
        .as_ref()
        .filter(|executor| executor.service == pool.service)
}

/// Returns the addresses at which requests of other services are still in progress. A recreated VM
/// may serve another service at an address that was used before, whose slots two pools must not
/// count twice.
fn addresses_in_use(pools: &[Arc<ServicePool>], own: &Arc<ServicePool>) -> IndexSet<SocketAddr> {
    let others = pools.iter().filter(|pool| !Arc::ptr_eq(pool, own));
    let mut addresses = IndexSet::new();
    for pool in others {
        let state = pool.lock();
        let busy = state.endpoints.iter().filter(|entry| !entry.is_idle());
        addresses.extend(busy.map(|entry| entry.address));
    }
    addresses
}

/// Returns the key of an endpoint, which is resized or added as needed.
fn endpoint_key(state: &mut PoolState, executor: &EndpointRecord, shares: u16) -> EndpointKey {
    if let Some(key) = state.by_address.get(&executor.address).copied() {
        state.entry(key).resize(executor.slots, shares);
        return key;
    }
    let entry = EndpointEntry::new(
        executor.address,
        shares,
        executor.slots,
        executor.connections,
    );
    state.add(entry)
}
