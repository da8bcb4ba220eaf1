//! An endpoint as its pool keeps it.

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

use crate::endpoint_connection::EndpointConnection;

/// What a slot is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotPhase {
    /// Nothing.
    Idle,
    /// A request has it.
    Busy,
    /// A request that was given up has it, and its answer may still come.
    Stray,
    /// Its last request's fate is not known: the endpoint may be working on it until then.
    Unknown {
        /// When the longest request there may be is over.
        until: Duration,
    },
}

/// One slot of an endpoint.
pub(crate) struct EndpointSlot {
    /// The slot share that it belongs to.
    pub(crate) share: ResourceId,
    /// The share's epoch as of the last refresh.
    pub(crate) epoch: OwnerEpoch,
    /// What it is doing.
    pub(crate) phase: SlotPhase,
    /// Whether this daemon may use its share now, as of the last refresh.
    pub(crate) held: bool,
    /// Whether it stands in the pool's list of free slots.
    pub(crate) listed: bool,
    /// Its idle connection.
    pub(crate) connection: Option<EndpointConnection>,
    /// Until when connections that were given up may still count at the endpoint.
    pub(crate) lingering: Vec<Duration>,
}

/// An endpoint as its pool keeps it.
pub(crate) struct EndpointEntry {
    /// Where it takes requests.
    pub(crate) address: SocketAddr,
    /// What is known of it.
    pub(crate) score: EndpointScore,
    /// Its slots, by number.
    pub(crate) slots: Vec<EndpointSlot>,
    /// Whether the VM list and the failure domains let it take requests.
    pub(crate) open: bool,
    /// Whether it ever kept a connection open after an answer.
    pub(crate) keeps_open: bool,
    /// Left alone since it refused.
    pub(crate) refusing: EndpointBackoff,
    /// Left alone since it announced its end.
    pub(crate) leaving: EndpointBackoff,
    declared_slots: u16,
    /// The connections that each slot may have at the endpoint, those given up included.
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
            keeps_open: false,
            refusing: EndpointBackoff::new(),
            leaving: EndpointBackoff::new(),
            declared_slots,
            connections_per_slot: 1,
        };
        entry.set_connections(connections);
        entry
    }

    /// Follows a change of the number of slots. Slots beyond the new number are kept but no longer
    /// used: a request may still be on them.
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

    /// Returns the number of slots that it has or had.
    pub(crate) fn all_slots(&self) -> u16 {
        u16::try_from(self.slots.len()).unwrap_or(u16::MAX)
    }

    /// Returns the number of slots that the endpoint has now.
    pub(crate) fn usable_slots(&self) -> u16 {
        self.declared_slots.min(self.all_slots())
    }

    /// Divides the endpoint's connections among its slots. Half of a slot's part is left to the
    /// holder of its share before this daemon, whose last connections the endpoint may still count.
    pub(crate) fn set_connections(&mut self, connections: u16) {
        let each = usize::from(connections) / self.slots.len().max(1);
        self.connections_per_slot = (each / 2).max(1);
    }

    /// Tells whether the endpoint may take requests now.
    pub(crate) fn is_usable(&self, now: Duration, heed_leaving: bool) -> bool {
        let leaves = heed_leaving && self.leaving.is_active(now);
        self.open && !leaves && !self.refusing.is_active(now)
    }

    /// Tells whether none of its slots is in use.
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
            listed: false,
            connection: None,
            lingering: Vec::new(),
        }
    }

    /// Notes that a connection was given up whose end the endpoint may not have seen: something
    /// between the two ends may have lost track of it, and the endpoint then counts it until its
    /// own time-out. Without this count, replacing silent connections again and again would take
    /// more connections than the endpoint has.
    pub(crate) fn linger(&mut self, until: Duration) {
        self.lingering.push(until);
    }

    /// Tells whether one more connection fits into what the endpoint can hold, besides `giving_up`
    /// ones that are about to be given up.
    pub(crate) fn may_dial(&mut self, now: Duration, most: usize, giving_up: usize) -> bool {
        self.lingering.retain(|until| *until > now);
        self.lingering.len() + giving_up < most
    }
}
