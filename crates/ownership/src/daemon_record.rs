//! The description that a daemon publishes with its seat.

use std::net::SocketAddr;

use jasminebend_base::{
    DomainName,
    VmName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The description of a daemon process that it writes into the table when it takes a seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonRecord {
    /// A random number drawn when the process starts. It distinguishes the messages of this process
    /// from those of any other.
    pub nonce: u64,
    /// The address at which peers reach it.
    pub peer: SocketAddr,
    /// The address at which operators reach it; `None` if it serves no administration API.
    pub admin: Option<SocketAddr>,
    /// The failure domain in which it runs.
    pub domain: DomainName,
    /// The VM on which it runs; `None` if the settings do not name one.
    pub vm: Option<VmName>,
}
