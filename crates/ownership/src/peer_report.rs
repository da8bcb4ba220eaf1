//! What a member knows, as it tells its peers.

use serde::{
    Deserialize,
    Serialize, //
};

/// What a member knows, as it tells its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// The newest epoch of each seat, announced or in force.
    pub seats: Vec<u64>,
    /// The newest version of the configuration, announced or in force.
    pub configuration: u64,
    /// The version that the sender acts by; it is committed.
    pub in_force: u64,
    /// The seats whose daemons the sender heard lately, one bit each.
    pub heard: u64,
}
