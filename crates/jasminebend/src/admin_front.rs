//! The administration API's listeners.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use jasminebend_ports::ClockSource;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet, //
};

use crate::{
    AccessKeys,
    AdminGuard,
    ControlPort,
    DaemonError,
    DaemonSettings,
    LimitSettings,
    MetricsHub,
    admin_server::AdminServer,
    admin_service::AdminService,
    key_watch::KeyWatch, //
};

/// The administration API's listeners, bound but not yet served.
#[derive(Debug)]
pub struct AdminFront {
    keys: Arc<AccessKeys>,
    watch: KeyWatch,
    limits: LimitSettings,
    main: TcpListener,
    health: Option<TcpListener>,
}

impl AdminFront {
    /// Reads the keys and binds the addresses.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if the keys are of no use, an address is taken, or the API would be open to
    /// the network without the settings saying so.
    pub async fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        if !settings.administration_guarded() {
            return Err(DaemonError::OpenAdministration);
        }
        let keys = Arc::new(AccessKeys::load(settings)?);
        let watch = KeyWatch::new(Arc::clone(&keys));
        // A file replaced between the first reading and the watch's would go unnoticed.
        keys.reload()?;
        let listen = &settings.listen;
        let main = bind("listen.administration", listen.administration).await?;
        let health = match listen.health {
            Some(address) => Some(bind("listen.health", address).await?),
            None => None,
        };
        Ok(Self {
            keys,
            watch,
            limits: settings.limits,
            main,
            health,
        })
    }

    /// Returns where the API listens.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if the socket does not tell.
    pub fn address(&self) -> Result<SocketAddr, DaemonError> {
        local_address("listen.administration", &self.main)
    }

    /// Serves the API for `control`; how fast tokens may be tried goes by `clock`.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if a socket does not tell its address.
    pub fn serve(
        self,
        control: Arc<dyn ControlPort>,
        metrics: MetricsHub,
        clock: Arc<dyn ClockSource>,
    ) -> Result<AdminGuard, DaemonError> {
        let address = self.address()?;
        let health = self.health.as_ref();
        let health = health.map(|socket| local_address("listen.health", socket));
        let (stop, stopped) = watch::channel(());
        let mut tasks = JoinSet::new();
        let keys = Arc::clone(&self.keys);
        let service = AdminService::new(control, keys, self.limits, metrics, clock);
        let service = Arc::new(service);
        if let Some(listener) = self.health {
            let server = AdminServer::health_only(Arc::clone(&service), self.limits);
            tasks.spawn(server.serve(listener, stopped.clone()));
        }
        tasks.spawn(self.watch.run(stopped.clone()));
        let server = AdminServer::new(service, self.keys, self.limits);
        tasks.spawn(server.serve(self.main, stopped));
        Ok(AdminGuard::new(stop, tasks, address, health.transpose()?))
    }
}

pub(crate) async fn bind(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| DaemonError::Listen {
        key,
        address,
        source,
    })
}

pub(crate) fn local_address(
    key: &'static str,
    listener: &TcpListener,
) -> Result<SocketAddr, DaemonError> {
    let address = listener.local_addr();
    address.map_err(|source| DaemonError::Listen {
        key,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}
