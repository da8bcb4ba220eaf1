//! The settings of a daemon on the platform.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::DomainName;
use jasminebend_dispatch::DispatchSettings;

/// The settings of a daemon on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The daemon's name, unique among the members.
    pub node: String,
    /// The failure domain of the daemon's VM.
    pub domain: DomainName,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness check, which the load balancer calls.
    pub ready: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
    /// The address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The daemon's CPU share, in thousandths of a core; daemons with a larger share take the ownership first.
    pub cpu_millis: u64,
    /// How long the daemon may take to stop.
    pub grace: Duration,
    /// The platform's lease on maintenance calls: a new owner makes none for this long.
    pub duty_lease: Duration,
    /// The settings of the dispatcher.
    pub dispatch: DispatchSettings,
}
