//! An endpoint as the VM list describes it.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ServiceName;

/// An endpoint (a service's executor) as the VM list describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorRecord {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The requests that it can work on at once.
    pub slots: u16,
    /// The connections that it can hold open at once.
    pub connections: u16,
}
