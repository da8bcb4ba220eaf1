//! What a daemon tells of itself.

use jasminebend_base::{
    ConfigurationVersion,
    DomainName, //
};
use serde::Serialize;

/// What a daemon tells of itself.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonStatus {
    /// The version of the program.
    pub program: &'static str,
    /// The failure domain that it runs in.
    pub failure_domain: DomainName,
    /// The region that it runs in.
    pub region: String,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Whether it is on its way to stop.
    pub stopping: bool,
    /// The configuration that it follows.
    pub configuration: ConfigurationVersion,
    /// What it holds and whom it knows, as the cluster part tells it.
    pub cluster: serde_json::Value,
}
