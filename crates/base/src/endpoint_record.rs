//! The VM list's record of an endpoint.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ServiceName;

/// The VM list's record of an endpoint, which the VM list calls an executor: a process that serves
/// the requests of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// The service whose requests the endpoint serves.
    pub service: ServiceName,
    /// The address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// The maximum number of requests that the endpoint serves at the same time.
    pub slots: u16,
    /// The maximum number of connections that the endpoint keeps open at the same time.
    pub connections: u16,
}
