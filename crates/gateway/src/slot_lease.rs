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
    exchange_end::ExchangeEnd,
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
    taken_at: Duration,
    held: bool,
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
            taken_at: pool.clock.monotonic(),
            pool,
            key,
            held: true,
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
    pub(crate) fn end(mut self, end: ExchangeEnd) {
        self.held = false;
        self.settle(end);
    }

    fn settle(&self, end: ExchangeEnd) {
        let held = self.pool.clock.monotonic().saturating_sub(self.taken_at);
        self.pool.settle(self.key, end, held);
    }

    /// Forgets the lease; whoever calls this gives the slot back by other means.
    pub(crate) fn forget(mut self) -> Option<EndpointConnection> {
        self.held = false;
        self.connection.take()
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let end = match self.sent {
            true => ExchangeEnd::Unknown,
            false => ExchangeEnd::Unused {
                connection: self.connection.take(),
            },
        };
        self.settle(end);
    }
}
