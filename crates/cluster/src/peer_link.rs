//! The interface to the network between daemons.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::ProbeOutcome;

/// The interface to the network between daemons. Frames may be lost, delayed, duplicated or
/// reordered.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Returns the address at which peers reach this daemon, with the actual port.
    fn address(&self) -> SocketAddr;

    /// Sends a frame without waiting; a frame that can be neither sent nor queued is dropped.
    fn send(&self, to: SocketAddr, frame: Bytes);

    /// Discards the connection to a peer, so that a new one is opened: the old one may no longer carry
    /// frames without an error.
    fn reset(&self, to: SocketAddr);

    /// Waits for at least one frame, and returns the available ones, at most `limit`. An empty result
    /// means that the link was closed.
    async fn receive(&self, limit: usize) -> Vec<Bytes>;

    /// Probes whether a process listens at an address.
    async fn probe(&self, address: SocketAddr) -> ProbeOutcome;

    /// Stops listening, after which [`PeerLink::receive`] returns no frames once those received before
    /// are read.
    fn close(&self);
}
