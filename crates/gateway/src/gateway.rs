//! The [`Gateway`]: accepts requests from callers and forwards them to endpoints.

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
    gateway_ports::GatewayPorts,
    gateway_settings::GatewaySettings,
    gateway_state::GatewayState,
    key_sweeper::sweep_keys,
    peer_directory::run_peer_directory,
    pool_refresh::HeldShares,
    pool_updater::{
        PoolUpdater, //
        PoolUpdaterMessage,
        PoolUpdaterState,
    },
};

/// How long to wait before a [`PoolUpdater`] that stopped or failed to start is started again.
const POOL_UPDATER_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Accepts requests from callers and forwards them to the endpoints of their service.
///
/// Dropping it stops its background tasks without waiting for requests in progress; see
/// [`Gateway::drain`].
pub struct Gateway {
    shared: Arc<GatewayState>,
    /// The running [`PoolUpdater`], or `None` before it has started.
    pool_updater: Mutex<Option<ActorRef<PoolUpdaterMessage>>>,
    /// Becomes true when the gateway drains.
    stop: watch::Sender<bool>,
    /// The number of listeners that are being served.
    open_listeners: watch::Sender<usize>,
    key_sweeper_task: AbortHandle,
    peer_directory_task: AbortHandle,
}

impl Gateway {
    /// Creates a gateway that follows the configuration, the VM list and the held slot shares from
    /// now on. Must be called within a tokio runtime.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts) -> Arc<Self> {
        let shared = Arc::new(GatewayState::new(settings, &ports));
        let mut state = PoolUpdaterState {
            shared: Arc::clone(&shared),
            configuration: ports.configuration,
            vms: ports.vms,
            last_held_shares: HeldShares::new(),
            last_full_refresh: Duration::ZERO,
        };
        state.set_routes();
        state.set_endpoints();
        state.refresh();
        let sweep = sweep_keys(Arc::clone(&shared), Arc::clone(&shared.keys));
        let key_sweeper_task = tokio::spawn(sweep).abort_handle();
        let peer_directory_task =
            tokio::spawn(run_peer_directory(Arc::clone(&shared))).abort_handle();
        let gateway = Arc::new(Self {
            shared,
            pool_updater: Mutex::new(None),
            stop: watch::Sender::new(false),
            open_listeners: watch::Sender::new(0),
            key_sweeper_task,
            peer_directory_task,
        });
        tokio::spawn(supervise_pool_updater(Arc::downgrade(&gateway), state));
        gateway
    }

    /// Serves callers on a listener. Returns once [`Gateway::drain`] was called and every request
    /// on this listener is answered.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        self.open_listeners.send_modify(|count| *count += 1);
        let stop = self.stop.subscribe();
        serve_callers(Arc::clone(&self.shared), listener, stop).await;
        self.open_listeners.send_modify(|count| *count -= 1);
    }

    /// Stops accepting connections, and waits until every request in progress is answered and the
    /// outcomes of requests with idempotency keys are written.
    pub async fn drain(&self) {
        info!("[gateway] Draining.");
        self.peer_directory_task.abort();
        self.shared.peers.withdraw().await;
        self.stop.send_replace(true);
        let mut open_listeners = self.open_listeners.subscribe();
        // Cannot fail: the sender belongs to this gateway, which outlives the wait.
        open_listeners.wait_for(|count| *count == 0).await.ok();
        self.shared
            .keys
            .flush(self.shared.settings.longest_request)
            .await;
        info!("[gateway] Drained.");
    }

    fn set_pool_updater(
        &self,
        pool_updater: ActorRef<PoolUpdaterMessage>,
    ) -> Option<ActorRef<PoolUpdaterMessage>> {
        let mut current = self
            .pool_updater
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        current.replace(pool_updater)
    }

    fn is_share_in_use(&self, resource: ResourceId) -> bool {
        self.shared
            .pools()
            .iter()
            .any(|pool| pool.lock().is_share_in_use(resource))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let pool_updater = self
            .pool_updater
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(pool_updater) = pool_updater.take() {
            pool_updater.stop(None);
        }
        self.key_sweeper_task.abort();
        self.peer_directory_task.abort();
        self.shared.keys.stop_writer();
    }
}

/// Runs the [`PoolUpdater`] for as long as the gateway exists, and restarts it if it stops early:
/// without it, changes of the endpoints and of the held shares would go unnoticed.
async fn supervise_pool_updater(gateway: Weak<Gateway>, state: PoolUpdaterState) {
    loop {
        let Ok((pool_updater, completion)) = Actor::spawn(None, PoolUpdater, state.clone()).await
        else {
            error!("[gateway] The keeper of the pools did not start.");
            sleep(POOL_UPDATER_RESTART_DELAY).await;
            continue;
        };
        let Some(strong) = gateway.upgrade() else {
            return pool_updater.stop(None);
        };
        let previous = strong.set_pool_updater(pool_updater);
        drop((strong, previous));
        // The reason is not needed: an early stop is logged below.
        completion.await.ok();
        if gateway.strong_count() == 0 {
            return;
        }
        error!("[gateway] The keeper of the pools ended early and starts anew.");
        sleep(POOL_UPDATER_RESTART_DELAY).await;
    }
}

#[async_trait]
impl ResourceUser for Gateway {
    async fn wait_idle(&self, resource: ResourceId) {
        loop {
            let mut slot_idle = pin!(self.shared.slot_idle.notified());
            // Registered before the check, so that a slot that becomes idle in between is not
            // missed.
            slot_idle.as_mut().enable();
            if !self.is_share_in_use(resource) {
                break;
            }
            slot_idle.await;
        }
        for pool in self.shared.pools() {
            pool.lock().close_idle(resource);
        }
    }
}
