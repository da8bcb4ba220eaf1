//! The gateway: takes callers' requests and has endpoints answer them.

use std::{
    pin::pin,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        Weak, //
    },
    time::Duration,
};

use async_trait::async_trait;
use jasminebend_base::ResourceId;
use jasminebend_ports::ResourceUser;
use ractor::{
    Actor,
    ActorRef, //
};
use spdlog::{
    error,
    info, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::AbortHandle,
    time::sleep, //
};

use crate::{
    caller_server::serve_callers,
    gateway_edges::GatewayEdges,
    gateway_settings::GatewaySettings,
    gateway_shared::GatewayShared,
    key_sweeper::sweep_keys,
    peer_directory::keep_directory,
    pool_keeper::{
        KeeperMessage,
        KeeperState,
        PoolKeeper, //
    },
    pool_refresh::HeldShares,
};

const KEEPER_PAUSE: Duration = Duration::from_secs(1);

/// The gateway: takes callers' requests and has endpoints answer them.
pub struct Gateway {
    shared: Arc<GatewayShared>,
    keeper: Mutex<Option<ActorRef<KeeperMessage>>>,
    stop: watch::Sender<bool>,
    served: watch::Sender<usize>,
    sweeper: AbortHandle,
    directory: AbortHandle,
}

impl Gateway {
    /// Creates a gateway that follows the configuration, the VM list and the held shares from now
    /// on. To be called within a tokio runtime.
    pub fn new(settings: GatewaySettings, edges: GatewayEdges) -> Arc<Self> {
        let shared = Arc::new(GatewayShared::new(settings, &edges));
        let mut state = KeeperState {
            shared: Arc::clone(&shared),
            configuration: edges.configuration,
            vms: edges.vms,
            seen: HeldShares::new(),
            looked_at: Duration::ZERO,
        };
        state.set_routes();
        state.set_endpoints();
        state.refresh();
        let sweep = sweep_keys(Arc::clone(&shared), Arc::clone(&shared.keys));
        let sweeper = tokio::spawn(sweep).abort_handle();
        let directory = tokio::spawn(keep_directory(Arc::clone(&shared))).abort_handle();
        let gateway = Arc::new(Self {
            shared,
            keeper: Mutex::new(None),
            stop: watch::Sender::new(false),
            served: watch::Sender::new(0),
            sweeper,
            directory,
        });
        tokio::spawn(run_keeper(Arc::downgrade(&gateway), state));
        gateway
    }

    /// Serves callers on a listener; returns once drained.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        self.served.send_modify(|count| *count += 1);
        let stop = self.stop.subscribe();
        serve_callers(Arc::clone(&self.shared), listener, stop).await;
        self.served.send_modify(|count| *count -= 1);
    }

    /// Stops taking connections, and waits until every request in progress is answered.
    pub async fn drain(&self) {
        info!("[gateway] Draining.");
        self.directory.abort();
        self.shared.peers.withdraw().await;
        self.stop.send_replace(true);
        let mut served = self.served.subscribe();
        // The sender is this gateway's own, so that the wait ends only as it should.
        served.wait_for(|count| *count == 0).await.ok();
        self.shared
            .keys
            .flush(self.shared.settings.longest_request)
            .await;
        info!("[gateway] Drained.");
    }

    fn set_keeper(&self, keeper: ActorRef<KeeperMessage>) -> Option<ActorRef<KeeperMessage>> {
        let mut own = self.keeper.lock().unwrap_or_else(PoisonError::into_inner);
        own.replace(keeper)
    }

    fn uses(&self, resource: ResourceId) -> bool {
        self.shared
            .pools()
            .iter()
            .any(|pool| pool.lock().uses(resource))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let keeper = self
            .keeper
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(keeper) = keeper.take() {
            keeper.stop(None);
        }
        self.sweeper.abort();
        self.directory.abort();
        self.shared.keys.stop();
    }
}

/// Runs the keeper for as long as the gateway lives. Without it no change of the endpoints or shares
/// would be followed, so that one which ends before its time is started anew.
async fn run_keeper(gateway: Weak<Gateway>, state: KeeperState) {
    loop {
        let Ok((keeper, ended)) = Actor::spawn(None, PoolKeeper, state.clone()).await else {
            error!("[gateway] The keeper of the pools did not start.");
            sleep(KEEPER_PAUSE).await;
            continue;
        };
        let Some(own) = gateway.upgrade() else {
            return keeper.stop(None);
        };
        let former = own.set_keeper(keeper);
        drop((own, former));
        // How it ended is told by the line below.
        ended.await.ok();
        if gateway.strong_count() == 0 {
            return;
        }
        error!("[gateway] The keeper of the pools ended early and starts anew.");
        sleep(KEEPER_PAUSE).await;
    }
}

#[async_trait]
impl ResourceUser for Gateway {
    async fn wait_idle(&self, resource: ResourceId) {
        loop {
            let mut idle = pin!(self.shared.idle.notified());
            // Registered before the look, so that a slot that falls idle in between is not missed.
            idle.as_mut().enable();
            if !self.uses(resource) {
                break;
            }
            idle.await;
        }
        for pool in self.shared.pools() {
            pool.lock().close_idle(resource);
        }
    }
}
