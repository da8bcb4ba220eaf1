//! The gateway: takes callers' requests and has endpoints answer them.

use std::{
    pin::pin,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        Weak, //
    },
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
    task::AbortHandle, //
};

use crate::{
    caller_server::serve_callers,
    gateway_edges::GatewayEdges,
    gateway_settings::GatewaySettings,
    gateway_shared::GatewayShared,
    key_sweeper::sweep_keys,
    pool_keeper::{
        KeeperMessage,
        KeeperState,
        PoolKeeper, //
    },
};

/// The gateway: takes callers' requests and has endpoints answer them.
pub struct Gateway {
    shared: Arc<GatewayShared>,
    keeper: Mutex<Option<ActorRef<KeeperMessage>>>,
    stop: watch::Sender<bool>,
    served: watch::Sender<usize>,
    sweeper: AbortHandle,
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
        };
        state.set_routes();
        state.set_endpoints();
        state.refresh();
        let sweep = sweep_keys(Arc::clone(&shared), Arc::clone(&shared.keys));
        let sweeper = tokio::spawn(sweep).abort_handle();
        let gateway = Arc::new(Self {
            shared,
            keeper: Mutex::new(None),
            stop: watch::Sender::new(false),
            served: watch::Sender::new(0),
            sweeper,
        });
        tokio::spawn(start_keeper(Arc::downgrade(&gateway), state));
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
        self.shared.keys.stop();
    }
}

async fn start_keeper(gateway: Weak<Gateway>, state: KeeperState) {
    let Ok((keeper, _)) = Actor::spawn(None, PoolKeeper, state).await else {
        error!("[gateway] The keeper of the pools did not start.");
        return;
    };
    let Some(gateway) = gateway.upgrade() else {
        keeper.stop(None);
        return;
    };
    let mut own = gateway
        .keeper
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    *own = Some(keeper);
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
