//! The administration API at work.

use std::net::SocketAddr;

use tokio::{
    sync::watch,
    task::JoinSet, //
};

/// The administration API at work. Dropping it ends its tasks.
#[derive(Debug)]
pub struct AdminGuard {
    stop: watch::Sender<()>,
    tasks: JoinSet<()>,
    address: SocketAddr,
    health: Option<SocketAddr>,
}

impl AdminGuard {
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

    /// Returns where the API listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where health, readiness and metrics are served in plain HTTP, if anywhere.
    pub fn health_address(&self) -> Option<SocketAddr> {
        self.health
    }

    /// Stops to listen, and waits until the requests in progress are answered.
    pub async fn stop(self) {
        let Self {
            stop, mut tasks, ..
        } = self;
        drop(stop);
        while tasks.join_next().await.is_some() {}
    }
}
