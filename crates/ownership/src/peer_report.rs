//! The report of a member to its peers.

use serde::{
    Deserialize,
    Serialize, //
};

/// The newest epochs and versions known to a member, as it reports them to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// The newest epoch of each seat, announced or in force, by seat number.
    pub seats: Vec<u64>,
    /// The newest version of the configuration, announced or in force.
    pub configuration: u64,
    /// The configuration version by which the sender acts; it is committed.
    pub in_force: u64,
    /// The seats from whose daemons the sender recently received a message, one bit each, the
    /// lowest for seat 0.
    pub heard: u64,
}
