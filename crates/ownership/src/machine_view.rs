//! What a member may do now.

use std::time::Duration;

use jasminebend_base::{
    OwnerEpoch,
    ResourceId,
    SeatNumber, //
};

use crate::{
    Guard,
    MemberMachine,
    OwnershipEntry,
    SeatHold,
    TableSnapshot,
    vouch_record::VouchRecord, //
};

const PERMILLE: u32 = 1_000;

impl MemberMachine {
    /// Returns the epoch under which this daemon may act on a resource now.
    pub fn may_act(&self, now: Duration, resource: ResourceId) -> Option<OwnerEpoch> {
        if self.leaving || !self.may_start(now) || !self.idle_for(now, resource).is_zero() {
            return None;
        }
        self.usable(resource).map(|entry| entry.epoch)
    }

    /// Returns what this daemon may act on now.
    pub fn held(&self, now: Duration) -> Vec<(ResourceId, OwnerEpoch)> {
        let (Some(hold), Some(table)) = (self.hold, &self.table) else {
            return Vec::new();
        };
        table
            .ownership
            .row
            .held_by(hold.id)
            .filter_map(|(resource, _)| Some((resource, self.may_act(now, resource)?)))
            .collect()
    }

    /// Returns how long a resource taken by force must still stay idle.
    pub fn idle_for(&self, now: Duration, resource: ResourceId) -> Duration {
        let Some((epoch, until)) = self.idle_until.get(&resource) else {
            return Duration::ZERO;
        };
        if self
            .usable(resource)
            .is_some_and(|entry| entry.epoch == *epoch)
        {
            return until.saturating_sub(now);
        }
        Duration::ZERO
    }

    /// Tells whether new work may start at all: the seat is held, and neither a newer holder of it
    /// nor a newer configuration can have come into force unnoticed.
    pub fn may_start(&self, now: Duration) -> bool {
        let Some(hold) = self.hold else {
            return false;
        };
        self.speaking
            && self.known.seat(hold.id.seat) == hold.epoch
            && (self.table_is_fresh(now) || self.peers_vouch(now))
            && self.configuration_is_fresh(now)
    }

    /// Tells whether the table was read lately.
    pub fn table_is_fresh(&self, now: Duration) -> bool {
        self.table
            .as_ref()
            .is_some_and(|table| self.is_fresh(table.asked_at, now))
    }

    /// Tells whether more than half of the members, this one among them, vouch.
    pub fn peers_vouch(&self, now: Duration) -> bool {
        let vouching = self.vouching(now).count() + 1;
        if !self.settings.guards.has(Guard::VouchMajority) {
            return vouching > 1;
        }
        vouching * 2 > usize::from(self.settings.seats)
    }

    /// Tells whether the configuration that this daemon acts by was lately the newest.
    pub fn configuration_is_fresh(&self, now: Duration) -> bool {
        if self.settings.seats < 2 && self.known.committed <= self.in_force {
            return true;
        }
        self.confirmed_at
            .is_some_and(|confirmed| self.is_fresh(confirmed, now))
    }

    /// Returns the version that this daemon acts by.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the newest version that is known to be committed.
    pub fn newest_committed(&self) -> u64 {
        self.known.committed
    }

    /// Returns the newest version that is known to be announced or committed.
    pub fn newest_announced(&self) -> u64 {
        self.known.configuration
    }

    /// Returns the seat that this daemon holds.
    pub fn hold(&self) -> Option<SeatHold> {
        self.hold
    }

    /// Returns the last read of the table.
    pub fn table(&self) -> Option<&TableSnapshot> {
        self.table.as_ref()
    }

    /// Returns the version that a seat's daemon acts by, if it was heard lately.
    pub fn peer_in_force(&self, seat: SeatNumber, now: Duration) -> Option<u64> {
        if self.hold.is_some_and(|hold| hold.id.seat == seat) {
            return Some(self.in_force);
        }
        let vouch = self.vouches.get(usize::from(seat.0))?;
        (vouch.epoch >= self.known.seat(seat) && self.is_heard(seat, now)).then_some(vouch.in_force)
    }

    /// Tells whether a seat's daemon was heard lately.
    pub fn is_heard(&self, seat: SeatNumber, now: Duration) -> bool {
        if self.hold.is_some_and(|hold| hold.id.seat == seat) {
            return true;
        }
        self.heard
            .get(usize::from(seat.0))
            .is_some_and(|(nonce, at)| *nonce != 0 && now < at.saturating_add(self.probe_after()))
    }

    fn usable(&self, resource: ResourceId) -> Option<&OwnershipEntry> {
        let hold = self.hold?;
        let entry = self.table.as_ref()?.ownership.row.entry(resource)?;
        let held = entry.holder == Some(hold.id);
        let released = self.releasing.get(&resource) == Some(&entry.epoch);
        (held && !released).then_some(entry)
    }

    /// Answers that count: asked for lately, from the process that sits in the seat now.
    pub(crate) fn vouching(&self, now: Duration) -> impl Iterator<Item = &VouchRecord> {
        let own = self.hold.map(|hold| hold.id.seat);
        (0u8..)
            .map(SeatNumber)
            .zip(&self.vouches)
            .filter(move |(seat, vouch)| {
                Some(*seat) != own
                    && vouch.number > 0
                    && self.is_fresh(vouch.asked_at, now)
                    && self.is_current(*seat, vouch.epoch)
            })
            .map(|(_, vouch)| vouch)
    }

    /// The holder's clock may be slow: it counts a little less than the full time.
    fn is_fresh(&self, since: Duration, now: Duration) -> bool {
        let margin = self.margin(self.settings.freshness);
        now < since.saturating_add(self.settings.freshness.saturating_sub(margin))
    }

    pub(crate) fn margin(&self, duration: Duration) -> Duration {
        if !self.settings.guards.has(Guard::DriftMargin) {
            return Duration::ZERO;
        }
        duration * self.settings.drift_permille / PERMILLE
    }

    /// The taker's clock may be fast: it waits a little more than the full time.
    pub(crate) fn full_wait(&self, duration: Duration) -> Duration {
        duration.saturating_add(self.margin(duration))
    }
}
