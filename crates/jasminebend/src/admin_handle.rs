//! Handle of the running administration API.

use std::net::SocketAddr;

use tokio::{
    sync::watch,
    task::JoinSet, //
};

/// Handle of the running administration API. Dropping it aborts the API's tasks.
#[derive(Debug)]
pub struct AdminHandle {
    stop: watch::Sender<()>,
    tasks: JoinSet<()>,
    address: SocketAddr,
    health: Option<SocketAddr>,
}

impl AdminHandle {
    pub(crate) fn new(
        stop: watch::Sender<()>,
        tasks: JoinSet<()>,
        address: SocketAddr,
        health: Option<SocketAddr>,
    ) -> Self {
        Self {
            stop,
            tasks,
            address,
            health,
        }
    }

    /// Returns the address that the API listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the separate plain HTTP listener for health, readiness and metrics, if there is one.
    pub fn health_address(&self) -> Option<SocketAddr> {
        self.health
    }

    /// Stops accepting connections, and waits until the requests in progress are answered.
    pub async fn stop(self) {
        let Self {
            stop, mut tasks, ..
        } = self;
        drop(stop);
        while tasks.join_next().await.is_some() {}
    }
}
