//! Applies reads of the table, and tracks the writes of this member.

use std::time::Duration;

use jasminebend_base::SeatNumber;

use crate::{
    DaemonRecord,
    Guard,
    HeldSeat,
    HolderId,
    MemberMachine,
    MembersRow,
    SeatRecord,
    SharedWrite,
    TableSnapshot,
    VersionedRow, //
};

/// How much longer each daemon waits than the daemon of the rank before it, before it makes a write
/// that any member may make: an eviction, or an assignment of orphaned resources.
pub(crate) const DELAY_PER_RANK: Duration = Duration::from_millis(700);

impl MemberMachine {
    /// Applies a poll of the table that completed now. A snapshot that does not match the settings
    /// is ignored.
    pub fn apply_snapshot(&mut self, now: Duration, snapshot: TableSnapshot) {
        if !self.matches_settings(&snapshot) {
            return;
        }
        self.merge_snapshot(now, snapshot);
        let Some(table) = self.table.take() else {
            return;
        };
        self.apply_members(now, &table.members.row);
        self.apply_configuration_header(now, &table);
        self.update_held_seat(now, &table);
        self.update_held_resources(now, &table);
        self.table = Some(table);
        self.advance_changes(now);
    }

    /// Returns whether the rows have as many seats, slot shares and shards as this daemon's
    /// settings. A daemon with other settings would count majorities differently, so it must not
    /// take part.
    pub fn matches_settings(&self, snapshot: &TableSnapshot) -> bool {
        let (members, ownership) = (&snapshot.members, &snapshot.ownership);
        let seats = members.row.seats.len() == usize::from(self.settings.seats);
        let slots = ownership.row.slots.len() == usize::from(self.settings.slot_shares);
        let shards = ownership.row.shards.len() == usize::from(self.settings.shards);
        (members.version.is_none() || seats) && (ownership.version.is_none() || (slots && shards))
    }

    /// Records that the last write ended, whatever its outcome; the next read shows the outcome. No
    /// further write is made for the duration `pause`, which reduces the load on the table after a
    /// rejected or failed write.
    pub fn finish_write(&mut self, now: Duration, pause: Duration) {
        self.write_in_progress = false;
        self.last_write_ended_at = Some(now);
        self.writes_paused_until = now.saturating_add(pause);
        self.poll_requested = true;
        if !self.settings.guards.is_enabled(Guard::ReleaseIsFinal) {
            self.releasing.clear();
            self.released.clear();
            self.released_idle.clear();
        }
    }

    /// Records that a write outside [`MemberMachine::tick`] is in progress.
    pub(crate) fn begin_commit(&mut self) {
        self.write_in_progress = true;
    }

    /// Merges a snapshot into the newest known rows. Polls overlap, so an older row may arrive
    /// after a newer one. It must not replace the newer one, or a superseded holder would regard
    /// itself as the holder again.
    fn merge_snapshot(&mut self, now: Duration, mut snapshot: TableSnapshot) {
        if !self.settings.guards.is_enabled(Guard::ReadAgeFromRequest) {
            snapshot.requested_at = now;
        }
        let Some(table) = &mut self.table else {
            self.table = Some(snapshot);
            return;
        };
        if !self.settings.guards.is_enabled(Guard::RowsNeverRevert) {
            *table = snapshot;
            return;
        }
        keep_newer(&mut table.members, snapshot.members);
        keep_newer(&mut table.ownership, snapshot.ownership);
        keep_newer(&mut table.configuration, snapshot.configuration);
        table.requested_at = table.requested_at.max(snapshot.requested_at);
    }

    /// Applies the members' row: epochs, seat holders, announced changes, rejected evictions and
    /// replaced processes.
    fn apply_members(&mut self, now: Duration, members: &MembersRow) {
        for (seat, record) in members.numbered_seats() {
            self.known_epochs.raise_seat(seat, record.newest_epoch());
            let index = usize::from(seat.0);
            if index >= self.last_received.len() {
                return;
            }
            let nonce = record
                .holder
                .as_ref()
                .map_or(0, |holder| holder.daemon.nonce);
            if self.last_received[index].0 != nonce {
                self.last_received[index] = (nonce, now);
                self.eviction_rejected_at[index] = None;
            }
            let announced = record.intent.as_ref().map_or(0, |intent| intent.epoch);
            if self.intents_seen[index].0 != announced {
                let withdrawn = announced == 0 && self.intents_seen[index].0 < record.epoch;
                let same = record
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.incarnation < record.epoch);
                self.intents_seen[index] = (announced, now);
                if withdrawn && same {
                    self.record_eviction_rejection(now, seat, record);
                }
            }
        }
        self.mark_replaced_terminated(members);
    }

    /// Records that the seat's daemon rejected an eviction. Only the process itself does so, so it
    /// is alive, whatever a probe or the VM list indicated.
    fn record_eviction_rejection(&mut self, now: Duration, seat: SeatNumber, record: &SeatRecord) {
        self.eviction_rejected_at[usize::from(seat.0)] = Some(now);
        if let Some(id) = record.holder_id(seat) {
            self.mark_alive(id);
        }
    }

    /// Marks processes as terminated whose address now belongs to another process, since two
    /// processes cannot listen at one address. This lets daemons take their seats after all of them
    /// were replaced at once.
    fn mark_replaced_terminated(&mut self, members: &MembersRow) {
        for (seat, record) in members.numbered_seats() {
            let former = record.former.iter().map(|former| &former.holder);
            for holder in record.holder.iter().chain(former) {
                if is_replaced(members, &holder.daemon) {
                    self.terminated.insert(HolderId {
                        seat,
                        incarnation: holder.incarnation,
                    });
                }
            }
        }
    }

    /// Applies the configuration's header.
    fn apply_configuration_header(&mut self, now: Duration, table: &TableSnapshot) {
        let header = &table.configuration.row;
        self.known_epochs
            .raise_configuration(header.newest_version(), header.version);
        if header.version <= self.in_force {
            self.confirm_configuration(table.requested_at);
        }
        let announced = header.intent.map_or(0, |intent| intent.version);
        if self.configuration_intent_seen.0 != announced {
            self.configuration_intent_seen = (announced, now);
        }
    }

    /// Determines whether this daemon gained, kept or lost its seat.
    fn update_held_seat(&mut self, now: Duration, table: &TableSnapshot) {
        let found = self.find_own_seat(&table.members.row);
        match (self.held_seat, found) {
            (None, Some(held_seat)) if self.lost_holder_id.is_none() => {
                self.record_seat_gained(now, held_seat)
            }
            (Some(old), Some(new)) if old.id == new.id => self.held_seat = Some(new),
            (Some(old), _) => self.record_seat_lost(now, old.id),
            (None, _) => (),
        }
        let read_since = self
            .seat_first_seen_at
            .is_some_and(|seen_at| table.requested_at >= seen_at);
        self.participating |= self.held_seat.is_some() && read_since;
    }

    fn record_seat_gained(&mut self, now: Duration, held_seat: HeldSeat) {
        self.held_seat = Some(held_seat);
        self.seat_first_seen_at = Some(now);
        self.seat_change = None;
        self.poll_requested = true;
        self.participating = !self
            .settings
            .guards
            .is_enabled(Guard::ReadBeforeParticipating);
    }

    fn record_seat_lost(&mut self, now: Duration, id: HolderId) {
        self.held_seat = None;
        self.seat_first_seen_at = None;
        self.participating = false;
        self.seat_change = None;
        self.configuration_change = None;
        self.lost_holder_id = Some(id);
        self.seat_lost_at = Some(now);
        self.poll_requested = true;
    }

    fn find_own_seat(&self, members: &MembersRow) -> Option<HeldSeat> {
        members.numbered_seats().find_map(|(seat, record)| {
            let holder = record.holder.as_ref()?;
            (holder.daemon.nonce == self.daemon.nonce).then_some(HeldSeat {
                id: HolderId {
                    seat,
                    incarnation: holder.incarnation,
                },
                epoch: record.epoch,
            })
        })
    }

    /// Returns the first write that is due, in the order of urgency.
    pub(crate) fn next_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if self.held_seat.is_none() {
            return match self.lost_holder_id {
                Some(_) => self.return_resources_write(),
                None => self.claim_write(now),
            };
        }
        self.eviction_rejection_write()
            .or_else(|| self.seat_commit_write(now))
            .or_else(|| self.configuration_commit_write(now))
            .or_else(|| self.leave_write())
            .or_else(|| self.balance_write(now))
            .or_else(|| self.eviction_write(now))
    }

    pub(crate) fn members(&self) -> Option<&MembersRow> {
        self.table.as_ref().map(|table| &table.members.row)
    }

    pub(crate) fn members_row_write(&self, row: MembersRow) -> SharedWrite {
        let version = self.table.as_ref().and_then(|table| table.members.version);
        SharedWrite {
            members: Some(VersionedRow { version, row }),
            ..SharedWrite::default()
        }
    }

    /// Returns this daemon's rank: the number of reachable daemons with lower seat numbers. Daemons
    /// act in the order of their ranks, which spares the table the same write from each of them.
    /// Without a seat, the rank comes after all others.
    pub(crate) fn rank(&self, now: Duration) -> u32 {
        let Some(held_seat) = self.held_seat else {
            return u32::from(self.settings.seats);
        };
        let before =
            (0..held_seat.id.seat.0).filter(|seat| self.has_recent_message(SeatNumber(*seat), now));
        before.map(|_| 1).sum()
    }
}

/// Replaces a row unless the read one is older.
fn keep_newer<Row>(kept: &mut VersionedRow<Row>, read: VersionedRow<Row>) {
    if read.version >= kept.version {
        *kept = read;
    }
}

/// Returns whether another process that took a seat later, or is taking one, listens at the address
/// of this one.
fn is_replaced(members: &MembersRow, daemon: &DaemonRecord) -> bool {
    let later = |other: &DaemonRecord| other.peer == daemon.peer && other.nonce != daemon.nonce;
    let former = members
        .seats
        .iter()
        .flat_map(|record| &record.former)
        .any(|former| former.holder.daemon.nonce == daemon.nonce);
    let claimed = members
        .seats
        .iter()
        .filter_map(|record| record.intent.as_ref()?.claim.as_ref())
        .any(later);
    let held = members
        .seats
        .iter()
        .filter_map(|record| record.holder.as_ref())
        .any(|holder| later(&holder.daemon));
    claimed || (former && held)
}
