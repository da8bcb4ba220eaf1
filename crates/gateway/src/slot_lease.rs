//! [`SlotLease`]: a slot that a request occupies.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};

use crate::{
    endpoint_connection::EndpointConnection,
    exchange_outcome::ExchangeOutcome,
    service_pool::ServicePool,
    slot_key::SlotKey,
    stream_limit::StreamPermit, //
};

/// A slot that a request occupies. Dropping it releases the slot: as free if nothing was sent, and
/// otherwise as one of unknown outcome, so that no code path can free a slot too early.
pub(crate) struct SlotLease {
    /// The address of the endpoint.
    pub(crate) address: SocketAddr,
    /// The share of the slot, and the epoch under which the slot was picked.
    pub(crate) grant: (ResourceId, OwnerEpoch),
    /// The connection of the slot, if one was open.
    pub(crate) connection: Option<EndpointConnection>,
    /// Whether a part of the request may have been sent.
    pub(crate) sent: bool,
    pool: Arc<ServicePool>,
    key: SlotKey,
    /// When the slot was taken, on the monotonic clock.
    acquired_at: Duration,
    /// Whether the slot is not yet released.
    is_held: bool,
}

impl SlotLease {
    /// Creates the lease of a slot that is marked as busy.
    pub(crate) fn new(
        pool: Arc<ServicePool>,
        key: SlotKey,
        address: SocketAddr,
        grant: (ResourceId, OwnerEpoch),
        connection: Option<EndpointConnection>,
    ) -> Self {
        Self {
            address,
            grant,
            connection,
            sent: false,
            acquired_at: pool.clock.monotonic(),
            pool,
            key,
            is_held: true,
        }
    }

    /// Returns the pool of the slot.
    pub(crate) fn pool(&self) -> &Arc<ServicePool> {
        &self.pool
    }

    /// Returns the key of the slot.
    pub(crate) fn key(&self) -> SlotKey {
        self.key
    }

    /// Keeps the permit of the request's body until the slot is idle.
    pub(crate) fn keep_permit(&self, permit: &StreamPermit) {
        self.pool.lock().slot(self.key).stream_permit = Some(permit.clone());
    }

    /// Releases the slot with the outcome of its exchange.
    pub(crate) fn release(mut self, outcome: ExchangeOutcome) {
        self.is_held = false;
        self.settle(outcome);
    }

    fn settle(&self, outcome: ExchangeOutcome) {
        let hold_time = self.pool.clock.monotonic().saturating_sub(self.acquired_at);
        self.pool.release_slot(self.key, outcome, hold_time);
    }

    /// Returns the connection and drops the lease without releasing the slot; the caller must
    /// return the slot to the pool.
    pub(crate) fn into_connection(mut self) -> Option<EndpointConnection> {
        self.is_held = false;
        self.connection.take()
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.is_held {
            return;
        }
        let outcome = match self.sent {
            true => ExchangeOutcome::Unknown,
            false => ExchangeOutcome::NotSent {
                connection: self.connection.take(),
            },
        };
        self.settle(outcome);
    }
}
