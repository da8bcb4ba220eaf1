//! The port of the network between daemons.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::ProbeOutcome;

/// The port of the network between daemons. Frames may be lost, late, doubled or out of order.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Returns the address at which peers reach this daemon.
    fn address(&self) -> SocketAddr;

    /// Sends a frame without waiting; one that cannot be sent at once is dropped.
    fn send(&self, to: SocketAddr, frame: Bytes);

    /// Opens a new connection to a peer: the old one may have gone silent for good.
    fn reset(&self, to: SocketAddr);

    /// Waits for frames, and adds those that are there, `limit` at the most. None means that the
    /// link was closed.
    async fn receive(&self, limit: usize) -> Vec<Bytes>;

    /// Asks whether a process listens at an address.
    async fn probe(&self, address: SocketAddr) -> ProbeOutcome;

    /// Stops listening and ends [`PeerLink::receive`].
    fn close(&self);
}
