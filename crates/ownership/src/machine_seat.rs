//! Takes and empties seats, and rejects evictions.

use std::time::Duration;

use jasminebend_base::SeatNumber;

use crate::{
    Guard,
    HolderId,
    MemberMachine,
    MembersRow,
    SeatHolder,
    SeatIntent,
    SeatRecord,
    SharedWrite,
    machine_table::DELAY_PER_RANK,
    seat_change::SeatChange, //
};

impl MemberMachine {
    /// Returns the write that takes a seat. An empty seat is taken at once; otherwise the change is
    /// announced first, and committed once more than half of the members were notified.
    pub(crate) fn claim_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if self.leaving {
            return None;
        }
        if self.seat_change.is_some() {
            return self.seat_commit_write(now);
        }
        let table = self.table.as_ref()?;
        let mut members = table.members.row.clone();
        if table.members.version.is_none() {
            members = MembersRow::new(self.settings.seats);
        }
        let own_address = self.seat_at_own_address(&members);
        if let Some((seat, id)) = own_address {
            self.terminated.insert(id);
            return self.announce_seat_change(now, members, seat, true);
        }
        if let Some(seat) = self.find_empty_seat(&members, now) {
            return self.take_empty_seat_write(members, seat);
        }
        let seat = members
            .numbered_seats()
            .find(|(seat, record)| {
                record
                    .holder_id(*seat)
                    .is_some_and(|id| self.terminated.contains(&id))
                    && self.accepts_new_intent(*seat, now)
            })
            .map(|(seat, _)| seat)?;
        self.announce_seat_change(now, members, seat, true)
    }

    /// Returns the seat of a process that listened at this process's address. Since this process
    /// listens there now, the other one has terminated.
    fn seat_at_own_address(&self, members: &MembersRow) -> Option<(SeatNumber, HolderId)> {
        members.numbered_seats().find_map(|(seat, record)| {
            let holder = record.holder.as_ref()?;
            let same = holder.daemon.peer == self.daemon.peer;
            let other = holder.daemon.nonce != self.daemon.nonce;
            (same && other).then_some((seat, record.holder_id(seat)?))
        })
    }

    /// Returns the first empty seat without a pending change, or whose pending change is abandoned.
    fn find_empty_seat(&self, members: &MembersRow, now: Duration) -> Option<SeatNumber> {
        members
            .numbered_seats()
            .find(|(seat, record)| record.holder.is_none() && self.accepts_new_intent(*seat, now))
            .map(|(seat, _)| seat)
    }

    /// Returns the write that takes an empty seat.
    fn take_empty_seat_write(
        &self,
        mut members: MembersRow,
        seat: SeatNumber,
    ) -> Option<SharedWrite> {
        let record = members.seat_mut(seat)?;
        let epoch = record.newest_epoch() + 1;
        record.epoch = epoch;
        record.intent = None;
        record.holder = Some(SeatHolder {
            incarnation: epoch,
            daemon: self.daemon.clone(),
        });
        Some(self.members_row_write(members))
    }

    /// Returns whether a seat has no announced change, or one that is old enough to be replaced
    /// because the daemon that announced it did not finish it.
    fn accepts_new_intent(&self, seat: SeatNumber, now: Duration) -> bool {
        self.intents_seen
            .get(usize::from(seat.0))
            .is_none_or(|(epoch, seen)| {
                *epoch == 0 || now >= seen.saturating_add(self.settings.abandoned_after)
            })
    }

    /// Starts a seat change, and returns the write that announces it.
    fn announce_seat_change(
        &mut self,
        now: Duration,
        mut members: MembersRow,
        seat: SeatNumber,
        claim: bool,
    ) -> Option<SharedWrite> {
        let record = members.seat_mut(seat)?;
        let epoch = record.newest_epoch() + 1;
        record.intent = Some(SeatIntent {
            epoch,
            by: self.daemon.nonce,
            claim: claim.then(|| self.daemon.clone()),
        });
        let announced = self
            .settings
            .guards
            .is_enabled(Guard::IntentBeforeNotification);
        self.seat_change = Some(SeatChange {
            seat,
            epoch,
            claim,
            announced_at: now,
            first_ask_number: (!announced).then_some(self.next_ask_number),
            majority_notified_at: None,
        });
        if !announced {
            self.known_epochs.raise_seat(seat, epoch);
            return None;
        }
        Some(self.members_row_write(members))
    }

    /// Returns the write that announces the eviction of a silent daemon from its seat, so that its
    /// shards move to other members.
    pub(crate) fn eviction_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if !self.participating || self.seat_change.is_some() || self.leaving {
            return None;
        }
        let members = self.members()?.clone();
        let seat = members
            .numbered_seats()
            .find(|(seat, record)| self.may_evict(*seat, record, now))
            .map(|(seat, _)| seat)?;
        let reachable = self.count_reachable(&members, seat, now);
        let enough = reachable * 2 >= members.seats.len();
        if !enough && self.settings.guards.is_enabled(Guard::NotifyMajority) {
            return None;
        }
        self.announce_seat_change(now, members, seat, false)
    }

    /// Returns whether the daemon of a seat may be evicted now. It must be silent here, and either
    /// be known to have terminated, or have been silent for the longer eviction period, be silent
    /// at the peers too, and not have rejected an eviction recently. Daemons wait longer by rank,
    /// so that not all of them announce the same eviction.
    fn may_evict(&self, seat: SeatNumber, record: &SeatRecord, now: Duration) -> bool {
        let Some(id) = record.holder_id(seat) else {
            return false;
        };
        let own = self.held_seat.is_some_and(|held_seat| held_seat.id == id);
        if own || self.has_recent_message(seat, now) || !self.accepts_new_intent(seat, now) {
            return false;
        }
        let delay = DELAY_PER_RANK * self.rank(now);
        let silent_since = self.last_received[usize::from(seat.0)].1;
        if self.terminated.contains(&id) {
            return now >= silent_since.saturating_add(self.probe_after() + delay);
        }
        let recently_rejected = self.eviction_rejected_at[usize::from(seat.0)]
            .is_some_and(|at| now < at.saturating_add(self.settings.eviction_retry_delay));
        let silent = now >= silent_since.saturating_add(self.settings.evict_after + delay);
        silent && !recently_rejected && !self.has_recent_message_at_peers(seat, now)
    }

    /// Returns whether a peer with a valid confirmation reports that it recently received a message
    /// from the seat's daemon.
    fn has_recent_message_at_peers(&self, seat: SeatNumber, now: Duration) -> bool {
        self.valid_confirmations(now)
            .any(|confirmation| confirmation.heard & (1 << seat.0) != 0)
    }

    /// Counts the seats except `target` that are empty, reachable, or held by a process known to
    /// have terminated.
    fn count_reachable(&self, members: &MembersRow, target: SeatNumber, now: Duration) -> usize {
        members
            .numbered_seats()
            .filter(|(seat, record)| {
                *seat != target
                    && record.holder_id(*seat).is_none_or(|id| {
                        self.has_recent_message(*seat, now) || self.is_presumed_terminated(id)
                    })
            })
            .count()
    }

    /// Returns whether a process is known to have terminated; any process if the guard against
    /// mistaking silence for termination is disabled.
    pub(crate) fn is_presumed_terminated(&self, id: HolderId) -> bool {
        self.terminated.contains(&id)
            || !self
                .settings
                .guards
                .is_enabled(Guard::SilenceIsNotTermination)
    }

    /// Returns the write that rejects an announced eviction of this daemon: it keeps its seat under
    /// a new epoch, which also makes the commit of the eviction fail.
    pub(crate) fn eviction_rejection_write(&self) -> Option<SharedWrite> {
        let held_seat = self.held_seat?;
        let mut members = self.members()?.clone();
        let record = members.seat_mut(held_seat.id.seat)?;
        let epoch = record.intent.take()?.epoch;
        record.epoch = epoch + 1;
        Some(self.members_row_write(members))
    }
}
