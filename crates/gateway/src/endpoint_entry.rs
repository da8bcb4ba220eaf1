//! [`EndpointEntry`]: an endpoint and its slots, as stored in a pool.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_routing::{
    EndpointBackoff,
    EndpointScore,
    slot_share, //
};

use crate::{
    endpoint_connection::EndpointConnection,
    stream_limit::StreamPermit, //
};

/// The state of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotPhase {
    /// No request uses the slot.
    Idle,
    /// A request uses the slot.
    Busy,
    /// Nothing waits any more for the request that uses the slot: its caller disconnected, its
    /// deadline passed or another attempt was faster. Its response may still arrive.
    Abandoned,
    /// The outcome of the last request is unknown: the endpoint may be working on it until this
    /// time.
    Unknown {
        /// When the longest request is over, on the monotonic clock.
        until: Duration,
    },
}

/// One slot of an endpoint: the right to have it work on one request at a time.
pub(crate) struct EndpointSlot {
    /// The slot share that the slot belongs to.
    pub(crate) share: ResourceId,
    /// The epoch of the share as of the last refresh.
    pub(crate) epoch: OwnerEpoch,
    /// The state of the slot.
    pub(crate) phase: SlotPhase,
    /// Whether this daemon may use the share, as of the last refresh.
    pub(crate) held: bool,
    /// Whether the slot is in the list of free slots of the pool.
    pub(crate) in_free_list: bool,
    /// The idle connection of the slot.
    pub(crate) connection: Option<EndpointConnection>,
    /// Until when each abandoned connection may still count at the endpoint.
    pub(crate) lingering_until: Vec<Duration>,
    /// The permit of the request that uses the slot, if its body is forwarded as it arrives.
    pub(crate) stream_permit: Option<StreamPermit>,
}

/// An endpoint and its slots, as stored in a pool.
pub(crate) struct EndpointEntry {
    /// The address at which it accepts requests.
    pub(crate) address: SocketAddr,
    /// Its load and latency, by which endpoints are compared.
    pub(crate) score: EndpointScore,
    /// Its slots, indexed by slot number.
    pub(crate) slots: Vec<EndpointSlot>,
    /// Whether the VM list and the state of its failure domain allow requests to it.
    pub(crate) open: bool,
    /// Whether it ever kept a connection open after a response. If it did, closing one announces
    /// its shutdown.
    pub(crate) keeps_connections_open: bool,
    /// The backoff after it refused a request or a connection.
    pub(crate) refusal_backoff: EndpointBackoff,
    /// The backoff after it announced its shutdown.
    pub(crate) leaving_backoff: EndpointBackoff,
    /// The number of slots in the VM list; slots beyond it are not used.
    declared_slots: u16,
    /// How many connections each slot may have at the endpoint, abandoned ones included.
    pub(crate) connections_per_slot: usize,
}

impl EndpointEntry {
    /// Creates an endpoint with idle slots.
    pub(crate) fn new(address: SocketAddr, shares: u16, slots: u16, connections: u16) -> Self {
        let declared_slots = slots;
        let slots = (0..slots)
            .map(|slot| EndpointSlot::new(slot_share(address, slot, shares)))
            .collect();
        let mut entry = Self {
            address,
            score: EndpointScore::new(),
            slots,
            open: false,
            keeps_connections_open: false,
            refusal_backoff: EndpointBackoff::new(),
            leaving_backoff: EndpointBackoff::new(),
            declared_slots,
            connections_per_slot: 1,
        };
        entry.set_connections(connections);
        entry
    }

    /// Updates the number of slots. Slots beyond the new number are kept but not used for new
    /// requests: a request may still be running on them.
    pub(crate) fn resize(&mut self, slots: u16, shares: u16) {
        for slot in 0..slots {
            if usize::from(slot) < self.slots.len() {
                continue;
            }
            let share = slot_share(self.address, slot, shares);
            self.slots.push(EndpointSlot::new(share));
        }
        for slot in self.slots.iter_mut().skip(usize::from(slots)) {
            slot.held = false;
        }
        self.declared_slots = slots;
    }

    /// Returns the number of slots, including those that the endpoint no longer has.
    pub(crate) fn slot_count(&self) -> u16 {
        u16::try_from(self.slots.len()).unwrap_or(u16::MAX)
    }

    /// Returns the number of slots that the endpoint has now.
    pub(crate) fn usable_slot_count(&self) -> u16 {
        self.declared_slots.min(self.slot_count())
    }

    /// Divides the connections of the endpoint among its slots. Half of the connections of a slot
    /// are left to the previous holder of its share, whose last connections the endpoint may still
    /// count.
    pub(crate) fn set_connections(&mut self, connections: u16) {
        let per_slot = usize::from(connections) / self.slots.len().max(1);
        self.connections_per_slot = (per_slot / 2).max(1);
    }

    /// Returns whether the endpoint may receive requests now. Its announcement of its shutdown
    /// counts only if `honor_leaving`.
    pub(crate) fn is_usable(&self, now: Duration, honor_leaving: bool) -> bool {
        let is_leaving = honor_leaving && self.leaving_backoff.is_active(now);
        self.open && !is_leaving && !self.refusal_backoff.is_active(now)
    }

    /// Returns whether none of its slots is in use.
    pub(crate) fn is_idle(&self) -> bool {
        self.slots.iter().all(|slot| slot.phase == SlotPhase::Idle)
    }
}

impl EndpointSlot {
    fn new(share: u16) -> Self {
        Self {
            share: ResourceId::Slots(share),
            epoch: OwnerEpoch::default(),
            phase: SlotPhase::Idle,
            held: false,
            in_free_list: false,
            connection: None,
            lingering_until: Vec::new(),
            stream_permit: None,
        }
    }

    /// Marks the slot as used by no request.
    pub(crate) fn set_idle(&mut self) {
        self.phase = SlotPhase::Idle;
        self.stream_permit = None;
    }

    /// Records an abandoned connection whose end the endpoint may not have seen: a middlebox may
    /// have lost track of it, and the endpoint then counts it until its own timeout. Without this
    /// count, repeatedly replacing silent connections would exceed the connection limit of the
    /// endpoint.
    pub(crate) fn add_lingering_connection(&mut self, until: Duration) {
        self.lingering_until.push(until);
    }

    /// Returns whether one more connection is within the limit of `max_connections`, in addition to
    /// `to_abandon` connections that are about to be abandoned.
    pub(crate) fn may_connect(
        &mut self,
        now: Duration,
        max_connections: usize,
        to_abandon: usize,
    ) -> bool {
        self.lingering_until.retain(|until| *until > now);
        self.lingering_until.len() + to_abandon < max_connections
    }
}
