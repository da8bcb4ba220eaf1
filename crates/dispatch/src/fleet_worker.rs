//! Registry record of a worker.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Registry record of a worker, as the worker publishes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetWorker {
    /// The worker's identity, unique in the fleet.
    pub id: Arc<str>,
    /// The VM that the worker runs on, if known.
    pub vm: Option<Arc<str>>,
    /// The pool that the worker belongs to.
    pub pool: Arc<str>,
    /// The address and port at which the worker is called.
    pub address: String,
    /// The failure domain that the worker is in.
    pub domain: DomainName,
    /// The worker's labels; the last one is its rack.
    pub labels: Vec<Arc<str>>,
    /// The CPU and memory that runs can reserve on the worker.
    pub capacity: ResourceAmount,
    /// Whether the worker is about to leave, so that nothing more may start on it.
    pub draining: bool,
    /// When the worker's incarnation began, since 1970, if known.
    #[serde(rename = "born")]
    pub incarnation: Option<Duration>,
}

impl FleetWorker {
    /// Returns the worker's rack: by the platform's convention the last of its labels.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
