//! A worker as the VM list describes it.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ResourceAmount;

/// A worker as the VM list describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// Where its control API listens.
    pub address: SocketAddr,
    /// The rack that it sits in.
    pub rack: String,
    /// What it can hold.
    pub capacity: ResourceAmount,
}
