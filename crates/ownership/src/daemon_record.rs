//! What a daemon says of itself when it takes a seat.

use std::net::SocketAddr;

use jasminebend_base::{
    DomainName,
    VmName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What a daemon says of itself when it takes a seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonRecord {
    /// Drawn at random when the process starts; tells its messages from those of any other.
    pub nonce: u64,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: Option<SocketAddr>,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// The VM that it runs on, if the settings name it.
    pub vm: Option<VmName>,
}
