//! The VM list's record of a worker.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ResourceAmount;

/// The VM list's record of a worker, the process that runs tasks on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// The address on which the worker's control API listens.
    pub address: SocketAddr,
    /// The rack that contains the worker's machine.
    pub rack: String,
    /// The total that the worker's tasks can reserve.
    pub capacity: ResourceAmount,
}
