//! The last answer of a peer.

use std::time::Duration;

/// The last answer of a peer. While it is recent, it confirms that the peer knew no epoch newer
/// than those known to this daemon. The default value stands for no answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PeerConfirmation {
    /// The epoch of the peer's seat in the answer.
    pub(crate) epoch: u64,
    /// The nonce of the process that answered.
    pub(crate) nonce: u64,
    /// The number of the `Ask` message that it answers; zero if there was no answer.
    pub(crate) number: u64,
    /// When that `Ask` message was sent, on this daemon's clock.
    pub(crate) asked_at: Duration,
    /// The newest configuration version known to the peer.
    pub(crate) configuration: u64,
    /// The configuration version by which the peer acts.
    pub(crate) in_force: u64,
    /// The seats from whose daemons the peer recently received a message, one bit each.
    pub(crate) heard: u64,
}
