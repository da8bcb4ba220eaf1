//! Answers what this member may do now, and what it knows of the others.

use std::time::Duration;

use jasminebend_base::{
    OwnerEpoch,
    ResourceId,
    SeatNumber, //
};

use crate::{
    Guard,
    HeldSeat,
    MemberMachine,
    OwnershipEntry,
    TableSnapshot,
    peer_confirmation::PeerConfirmation, //
};

/// The divisor that turns thousandths into a fraction.
const PERMILLE_DIVISOR: u32 = 1_000;

impl MemberMachine {
    /// Returns the epoch under which this daemon may act on a resource now; `None` if it may not.
    pub fn may_act(&self, now: Duration, resource: ResourceId) -> Option<OwnerEpoch> {
        if self.leaving || !self.may_start(now) || !self.idle_for(now, resource).is_zero() {
            return None;
        }
        self.usable_entry(resource).map(|entry| entry.epoch)
    }

    /// Returns the resources on which this daemon may act now, with their epochs.
    pub fn held(&self, now: Duration) -> Vec<(ResourceId, OwnerEpoch)> {
        let (Some(held_seat), Some(table)) = (self.held_seat, &self.table) else {
            return Vec::new();
        };
        table
            .ownership
            .row
            .held_by(held_seat.id)
            .filter_map(|(resource, _)| Some((resource, self.may_act(now, resource)?)))
            .collect()
    }

    /// Returns how long a resource taken over without a release must still stay idle; zero if it
    /// need not.
    pub fn idle_for(&self, now: Duration, resource: ResourceId) -> Duration {
        let Some((epoch, until)) = self.idle_until.get(&resource) else {
            return Duration::ZERO;
        };
        if self
            .usable_entry(resource)
            .is_some_and(|entry| entry.epoch == *epoch)
        {
            return until.saturating_sub(now);
        }
        Duration::ZERO
    }

    /// Returns whether new work may start at all: this daemon holds a seat, and neither a newer
    /// holder of the seat nor a newer configuration can be in force without its knowledge.
    pub fn may_start(&self, now: Duration) -> bool {
        let Some(held_seat) = self.held_seat else {
            return false;
        };
        self.participating
            && self.known_epochs.seat(held_seat.id.seat) == held_seat.epoch
            && (self.table_is_fresh(now) || self.peers_vouch(now))
            && self.configuration_is_fresh(now)
    }

    /// Returns whether the last read of the table is still valid.
    pub fn table_is_fresh(&self, now: Duration) -> bool {
        self.table
            .as_ref()
            .is_some_and(|table| self.is_fresh(table.asked_at, now))
    }

    /// Returns whether more than half of the members, this one included, currently confirm that
    /// they know no newer epoch.
    pub fn peers_vouch(&self, now: Duration) -> bool {
        let valid_confirmations = self.valid_confirmations(now).count() + 1;
        if !self.settings.guards.is_enabled(Guard::ConfirmationMajority) {
            return valid_confirmations > 1;
        }
        valid_confirmations * 2 > usize::from(self.settings.seats)
    }

    /// Returns whether the configuration by which this daemon acts was recently confirmed to be the
    /// newest.
    pub fn configuration_is_fresh(&self, now: Duration) -> bool {
        if self.settings.seats < 2 && self.known_epochs.committed_configuration <= self.in_force {
            return true;
        }
        self.configuration_confirmed_at
            .is_some_and(|confirmed| self.is_fresh(confirmed, now))
    }

    /// Returns the configuration version by which this daemon acts.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the newest configuration version that is known to be committed.
    pub fn newest_committed(&self) -> u64 {
        self.known_epochs.committed_configuration
    }

    /// Returns the newest configuration version that is known to be announced or committed.
    pub fn newest_announced(&self) -> u64 {
        self.known_epochs.announced_configuration
    }

    /// Returns the seat that this daemon holds; `None` if it holds none.
    pub fn hold(&self) -> Option<HeldSeat> {
        self.held_seat
    }

    /// Returns the newest known rows of the table; `None` before the first read.
    pub fn table(&self) -> Option<&TableSnapshot> {
        self.table.as_ref()
    }

    /// Returns the configuration version by which a seat's daemon acts; `None` if no message was
    /// received from it recently.
    pub fn peer_in_force(&self, seat: SeatNumber, now: Duration) -> Option<u64> {
        if self
            .held_seat
            .is_some_and(|held_seat| held_seat.id.seat == seat)
        {
            return Some(self.in_force);
        }
        let confirmation = self.confirmations.get(usize::from(seat.0))?;
        (confirmation.epoch >= self.known_epochs.seat(seat) && self.is_heard(seat, now))
            .then_some(confirmation.in_force)
    }

    /// Returns whether a message from a seat's daemon was received recently; always true for this
    /// daemon's own seat.
    pub fn is_heard(&self, seat: SeatNumber, now: Duration) -> bool {
        if self
            .held_seat
            .is_some_and(|held_seat| held_seat.id.seat == seat)
        {
            return true;
        }
        self.last_received
            .get(usize::from(seat.0))
            .is_some_and(|(nonce, at)| *nonce != 0 && now < at.saturating_add(self.probe_after()))
    }

    /// Returns the entry of a resource that this daemon holds and is not releasing.
    fn usable_entry(&self, resource: ResourceId) -> Option<&OwnershipEntry> {
        let held_seat = self.held_seat?;
        let entry = self.table.as_ref()?.ownership.row.entry(resource)?;
        let held = entry.holder == Some(held_seat.id);
        let released = self.releasing.get(&resource) == Some(&entry.epoch);
        (held && !released).then_some(entry)
    }

    /// Returns the peers' confirmations that are valid: requested recently, from the process that
    /// holds the seat now.
    pub(crate) fn valid_confirmations(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = &PeerConfirmation> {
        let own = self.held_seat.map(|held_seat| held_seat.id.seat);
        (0u8..)
            .map(SeatNumber)
            .zip(&self.confirmations)
            .filter(move |(seat, confirmation)| {
                Some(*seat) != own
                    && confirmation.number > 0
                    && self.is_fresh(confirmation.asked_at, now)
                    && self.is_current(*seat, confirmation.epoch)
            })
            .map(|(_, confirmation)| confirmation)
    }

    /// Returns whether less than the validity period has passed since a time. The period is reduced
    /// by the drift margin, as this clock may be slow.
    fn is_fresh(&self, since: Duration, now: Duration) -> bool {
        let drift_margin = self.drift_margin(self.settings.freshness);
        now < since.saturating_add(self.settings.freshness.saturating_sub(drift_margin))
    }

    /// Returns the margin for clock drift over a duration.
    pub(crate) fn drift_margin(&self, duration: Duration) -> Duration {
        if !self.settings.guards.is_enabled(Guard::ClockDriftMargin) {
            return Duration::ZERO;
        }
        duration * self.settings.drift_permille / PERMILLE_DIVISOR
    }

    /// Returns a duration increased by the drift margin, for a daemon that waits for others: its
    /// clock may be fast.
    pub(crate) fn with_drift_margin(&self, duration: Duration) -> Duration {
        duration.saturating_add(self.drift_margin(duration))
    }
}
