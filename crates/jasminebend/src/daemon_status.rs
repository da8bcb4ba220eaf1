//! Status of a daemon.

use jasminebend_base::{
    ConfigurationVersion,
    DomainName, //
};
use serde::Serialize;

/// Status of a daemon, as the administration API returns it.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonStatus {
    /// The program's version.
    pub program: &'static str,
    /// The failure domain that the daemon runs in.
    pub failure_domain: DomainName,
    /// The region that the daemon runs in.
    pub region: String,
    /// Whether the balancer may send callers to this daemon.
    pub ready: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// The version of the configuration that the daemon applies.
    pub configuration: ConfigurationVersion,
    /// The cluster part's status: the resources that the daemon owns and the members that it knows.
    pub cluster: serde_json::Value,
}
