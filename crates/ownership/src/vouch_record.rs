//! The last answer of a peer.

use std::time::Duration;

/// The last answer of a peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct VouchRecord {
    /// The seat's epoch in the answer.
    pub(crate) epoch: u64,
    /// The process that answered.
    pub(crate) nonce: u64,
    /// The ask that it answered.
    pub(crate) number: u64,
    /// When that ask was sent, on this daemon's clock.
    pub(crate) asked_at: Duration,
    /// The newest configuration that the peer knew.
    pub(crate) configuration: u64,
    /// The configuration that the peer acts by.
    pub(crate) in_force: u64,
    /// The seats that the peer heard lately.
    pub(crate) heard: u64,
}
