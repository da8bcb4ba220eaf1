//! The settings of a daemon on the platform.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::DomainName;
use jasminebend_dispatch::DispatchSettings;

use crate::IngressSettings;

/// The settings of a daemon on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The daemon's name, unique among the members.
    pub node: String,
    /// The failure domain of the daemon's VM.
    pub domain: DomainName,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the readiness check, which the load balancer calls.
    pub readiness_address: SocketAddr,
    /// The address for other daemons.
    pub peer_address: SocketAddr,
    /// The address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// The daemon's CPU share, in millicores; daemons with a larger share take the ownership first.
    pub cpu_millis: u64,
    /// How long the daemon may take to stop.
    pub stop_timeout: Duration,
    /// The time that the platform requires between maintenance calls of two daemons for one VM: a new owner makes none
    /// for this long.
    pub maintenance_lease: Duration,
    /// What the clients of each address may hold.
    pub ingress: IngressSettings,
    /// The settings of the dispatcher.
    pub dispatch: DispatchSettings,
}
