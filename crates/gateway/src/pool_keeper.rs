//! Keeps the pools in step with the configuration, the VM list and the held shares.

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
    ExecutorRecord,
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
    gateway_shared::GatewayShared,
    pool_refresh::{
        HeldShares,
        refresh_pool, //
    },
    pool_state::PoolState,
    route_snapshot::RouteSnapshot,
    service_pool::ServicePool,
    slot_key::EndpointKey, //
};

/// How often every slot is looked at when no share changed: for slots whose time is over, endpoints
/// that were left alone, and connections that were idle for long.
const FULL_LOOK_EVERY: Duration = Duration::from_millis(250);

/// Why the pools are looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) enum KeeperMessage {
    /// The configuration changed.
    Configuration,
    /// The VM list changed.
    Vms,
    /// Time went by.
    Tick,
}

/// Keeps the pools in step with the configuration, the VM list and the held shares.
pub(crate) struct PoolKeeper;

/// What the keeper works with.
#[derive(Clone)]
pub(crate) struct KeeperState {
    /// The pools.
    pub(crate) shared: Arc<GatewayShared>,
    /// The configuration in force.
    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    /// The latest reading of the VM list.
    pub(crate) vms: watch::Receiver<Arc<VmSnapshot>>,
    /// The shares as of the last look at every slot.
    pub(crate) seen: HeldShares,
    /// When every slot was last looked at.
    pub(crate) looked_at: Duration,
}

impl Actor for PoolKeeper {
    type Msg = KeeperMessage;
    type State = KeeperState;
    type Arguments = KeeperState;

    async fn pre_start(
        &self,
        myself: ActorRef<KeeperMessage>,
        state: KeeperState,
    ) -> Result<KeeperState, ActorProcessingErr> {
        forward(
            state.configuration.clone(),
            myself.clone(),
            KeeperMessage::Configuration,
        );
        forward(state.vms.clone(), myself.clone(), KeeperMessage::Vms);
        myself.send_interval(state.shared.settings.refresh_every, || KeeperMessage::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<KeeperMessage>,
        message: KeeperMessage,
        state: &mut KeeperState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            KeeperMessage::Configuration => {
                state.set_routes();
                state.set_endpoints();
            }
            KeeperMessage::Vms => state.set_endpoints(),
            KeeperMessage::Tick => {
                state.refresh_if_due();
                return Ok(());
            }
        }
        state.refresh();
        Ok(())
    }
}

/// Tells the keeper of each change; ends when the channel closes or the keeper is gone.
fn forward<Value>(
    mut changes: watch::Receiver<Value>,
    keeper: ActorRef<KeeperMessage>,
    message: KeeperMessage,
) where
    Value: Send + Sync + 'static,
{
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            if keeper.cast(message).is_err() {
                return;
            }
        }
    });
}

impl KeeperState {
    /// Puts the configuration's routes in force.
    pub(crate) fn set_routes(&mut self) {
        let configuration = Arc::clone(&self.configuration.borrow_and_update());
        let table = RouteTable::new(&configuration);
        let routes = RouteSnapshot::new(table, &self.shared.routes(), |entry| {
            self.shared.pool(&entry.service)
        });
        self.shared.set_routes(routes);
    }

    /// Opens and closes endpoints by the VM list and the failure domains.
    pub(crate) fn set_endpoints(&mut self) {
        let configuration = Arc::clone(&self.configuration.borrow());
        let snapshot = Arc::clone(&self.vms.borrow_and_update());
        let pools = self.shared.pools();
        for pool in &pools {
            let foreign = addresses_in_use(&pools, pool);
            let executors = snapshot.vms.iter().filter_map(|vm| executor_of(vm, pool));
            let listed: IndexSet<_> = executors.map(|executor| executor.address).collect();
            let mut state = pool.lock();
            for entry in &mut state.endpoints {
                entry.open = false;
            }
            for vm in &snapshot.vms {
                let Some(executor) = executor_of(vm, pool) else {
                    continue;
                };
                if !foreign.contains(&executor.address) {
                    self.set_endpoint(&mut state, vm, executor, &configuration);
                }
            }
            state.retire_unlisted(|address| listed.contains(address));
        }
    }

    fn set_endpoint(
        &self,
        state: &mut PoolState,
        vm: &VmRecord,
        executor: &ExecutorRecord,
        configuration: &Configuration,
    ) {
        let settings = &self.shared.settings;
        let key = endpoint_key(state, executor, settings.slot_shares);
        let near = vm.domain == settings.domain;
        let distance = match near {
            true => Duration::ZERO,
            false => settings.domain_distance,
        };
        let entry = state.entry(key);
        let domain_in = configuration.domain_state(&vm.domain) == DomainState::In;
        entry.open = vm.state == VmState::Live && domain_in;
        entry.score = entry.score.with_round_trip_time(distance);
        entry.set_connections(executor.connections);
    }

    /// Looks at every slot if the held shares changed, or if it is time for the clock's sake. Looking
    /// at all of them at each tick took 5.4% of a core at 8,900 endpoints.
    fn refresh_if_due(&mut self) {
        let held = self.shared.held_shares();
        let due = self.looked_at + FULL_LOOK_EVERY <= self.shared.clock.monotonic();
        if due || held != self.seen || self.shared.outdated.swap(false, Ordering::Relaxed) {
            self.refresh_with(held);
        }
    }

    /// Looks at the held shares and the clock, frees slots whose time is over, and lets waiting
    /// requests go on.
    pub(crate) fn refresh(&mut self) {
        let held = self.shared.held_shares();
        self.refresh_with(held);
    }

    fn refresh_with(&mut self, held: HeldShares) {
        let now = self.shared.clock.monotonic();
        for pool in self.shared.pools() {
            refresh_pool(&pool, &held, now);
            pool.hand_over();
        }
        self.shared.idle.notify_waiters();
        self.seen = held;
        self.looked_at = now;
    }
}

/// Returns the endpoint of a service on a VM.
fn executor_of<'a>(vm: &'a VmRecord, pool: &ServicePool) -> Option<&'a ExecutorRecord> {
    vm.executor
        .as_ref()
        .filter(|executor| executor.service == pool.service)
}

/// Returns the addresses at which another service's requests are still in progress: a VM made anew
/// may serve another service at an address of old, whose slots two pools must not count twice.
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

fn endpoint_key(state: &mut PoolState, executor: &ExecutorRecord, shares: u16) -> EndpointKey {
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
