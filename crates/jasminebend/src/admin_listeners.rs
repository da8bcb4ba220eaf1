//! The listeners of the administration API.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use jasminebend_ingress::listen;
use jasminebend_ports::ClockSource;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet, //
};

use crate::{
    AccessKeys,
    AdminHandle,
    ControlPort,
    DaemonError,
    DaemonSettings,
    LimitSettings,
    MetricsExporter,
    access_key_watcher::AccessKeyWatcher, //
    admin_server::AdminServer,
    admin_service::AdminService,
};

/// The administration API's listeners, bound but not yet served.
#[derive(Debug)]
pub struct AdminListeners {
    keys: Arc<AccessKeys>,
    watch: AccessKeyWatcher,
    limits: LimitSettings,
    main: TcpListener,
    health: Option<TcpListener>,
}

impl AdminListeners {
    /// Reads the certificate and tokens, and binds the addresses.
    ///
    /// # Errors
    ///
    /// Returns a [`DaemonError`] if the certificate or tokens cannot be used, an address cannot be bound, or
    /// the API would be reachable off loopback without TLS and tokens and the settings do not allow that.
    pub async fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        if !settings.is_administration_protected() {
            return Err(DaemonError::OpenAdministration);
        }
        let keys = Arc::new(AccessKeys::load(settings)?);
        let watch = AccessKeyWatcher::new(Arc::clone(&keys));
        // The watcher would not notice a file that was replaced between the first read and the
        // creation of the watcher, so the files are read again.
        keys.reload()?;
        let listen = &settings.listen;
        let main = bind("listen.administration", listen.administration)?;
        let health = match listen.health {
            Some(address) => Some(bind("listen.health", address)?),
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

    /// Returns the address that the API listens on.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Listen`] if the socket's address cannot be read.
    pub fn address(&self) -> Result<SocketAddr, DaemonError> {
        local_address("listen.administration", &self.main)
    }

    /// Starts serving the API, which drives `control`; `clock` measures the rate of failed tokens.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Listen`] if a socket's address cannot be read.
    pub fn serve(
        self,
        control: Arc<dyn ControlPort>,
        metrics: MetricsExporter,
        clock: Arc<dyn ClockSource>,
    ) -> Result<AdminHandle, DaemonError> {
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
        Ok(AdminHandle::new(stop, tasks, address, health.transpose()?))
    }
}

/// Binds a listener; `key` is the settings key that an error names.
pub(crate) fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    listen(address).map_err(|source| DaemonError::Listen {
        key,
        address,
        source,
    })
}

/// Returns the address that a listener is bound to; `key` is the settings key that an error names.
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
