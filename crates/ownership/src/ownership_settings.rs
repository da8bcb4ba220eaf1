//! The sizes and durations of the ownership protocol.

use std::time::Duration;

use crate::GuardSet;

/// The sizes and durations of the ownership protocol. All daemons must have equal values, except
/// for `guards`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// The number of seats, at most 64: a report has one bit per seat in a `u64`.
    pub seats: u8,
    /// The number of slot shares.
    pub slot_shares: u16,
    /// The number of shards.
    pub shards: u16,
    /// How long a daemon may act on a read of the table or on a peer's confirmation.
    pub freshness: Duration,
    /// The margin for clock drift, in thousandths of a duration.
    pub drift_permille: u32,
    /// The interval at which peers are asked.
    pub heartbeat: Duration,
    /// The duration of silence after which a process is probed.
    pub probe_after: Duration,
    /// The duration of silence after which a daemon may be evicted from its seat.
    pub evict_after: Duration,
    /// How long a daemon that rejected an eviction is not evicted again.
    pub eviction_retry_delay: Duration,
    /// How long slot shares taken over without a release stay idle: the longest duration of a
    /// request.
    pub longest_request: Duration,
    /// The age of an announced change after which other daemons regard it as abandoned, and finish
    /// or replace it.
    pub abandoned_after: Duration,
    /// The enabled guards; simulations disable some.
    pub guards: GuardSet,
}

impl OwnershipSettings {
    /// Creates the settings for a number of seats, slot shares and shards, with default durations.
    pub fn new(seats: u8, slot_shares: u16, shards: u16) -> Self {
        Self {
            seats,
            slot_shares,
            shards,
            freshness: Duration::from_secs(2),
            drift_permille: 20,
            heartbeat: Duration::from_millis(300),
            probe_after: Duration::from_millis(1_200),
            evict_after: Duration::from_secs(3),
            eviction_retry_delay: Duration::from_secs(30),
            longest_request: Duration::from_secs(30),
            abandoned_after: Duration::from_secs(3),
            guards: GuardSet::new(),
        }
    }

    /// Sets the enabled guards; for simulations only.
    pub fn with_guards(mut self, guards: GuardSet) -> Self {
        self.guards = guards;
        self
    }
}
