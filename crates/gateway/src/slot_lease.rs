//! A slot that a request holds.

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
    slot_key::SlotKey, //
};

/// A slot that a request holds. Dropping it gives the slot back: free if nothing was sent, and as
/// of unknown fate otherwise, so that no way out of the code can free a slot too early.
pub(crate) struct SlotLease {
    /// The endpoint's address.
    pub(crate) address: SocketAddr,
    /// The share that the slot belongs to, and the epoch under which it was picked.
    pub(crate) grant: (ResourceId, OwnerEpoch),
    /// The slot's connection, if one was open.
    pub(crate) connection: Option<EndpointConnection>,
    /// Whether something may have been sent.
    pub(crate) sent: bool,
    pool: Arc<ServicePool>,
    key: SlotKey,
    acquired_at: Duration,
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

    /// Returns the pool that the slot is of.
    pub(crate) fn pool(&self) -> &Arc<ServicePool> {
        &self.pool
    }

    /// Returns the slot's key.
    pub(crate) fn key(&self) -> SlotKey {
        self.key
    }

    /// Gives the slot back.
    pub(crate) fn release(mut self, outcome: ExchangeOutcome) {
        self.is_held = false;
        self.settle(outcome);
    }

    fn settle(&self, outcome: ExchangeOutcome) {
        let is_held = self.pool.clock.monotonic().saturating_sub(self.acquired_at);
        self.pool.release_slot(self.key, outcome, is_held);
    }

    /// Forgets the lease; whoever calls this gives the slot back by other means.
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
