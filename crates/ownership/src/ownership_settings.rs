//! The sizes and durations of the rule.

use std::time::Duration;

use crate::GuardSet;

/// The sizes and durations of the rule; all daemons must agree on all but `guards`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// How many seats there are; at most 64.
    pub seats: u8,
    /// How many slot shares there are.
    pub slot_shares: u16,
    /// How many shards there are.
    pub shards: u16,
    /// How long a read of the table, or a vouch, allows to act.
    pub freshness: Duration,
    /// The margin for drift, in thousandths of a duration.
    pub drift_permille: u32,
    /// How often peers are asked.
    pub heartbeat: Duration,
    /// After which silence a process is probed.
    pub probe_after: Duration,
    /// After which silence a seat may be emptied.
    pub silent_after: Duration,
    /// How long a seat that its daemon defended is left alone.
    pub defended_for: Duration,
    /// How long slots taken by force stay idle: the longest request there may be.
    pub longest_request: Duration,
    /// After which time a change that its maker left unfinished is finished by others.
    pub finish_after: Duration,
    /// The guards in use; all of them but in explorations.
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
            silent_after: Duration::from_secs(3),
            defended_for: Duration::from_secs(30),
            longest_request: Duration::from_secs(30),
            finish_after: Duration::from_secs(3),
            guards: GuardSet::new(),
        }
    }

    /// Uses these guards; for explorations only.
    pub fn with_guards(mut self, guards: GuardSet) -> Self {
        self.guards = guards;
        self
    }
}
