//! What a member learns from the table, and how it ends its writes.

use std::time::Duration;

use jasminebend_base::SeatNumber;

use crate::{
    DaemonRecord,
    Guard,
    HolderId,
    MemberMachine,
    MembersRow,
    SeatHold,
    SeatRecord,
    SharedWrite,
    TableSnapshot,
    VersionedRow, //
};

/// By how much each daemon of a later rank waits longer before it steps in.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(700);

impl MemberMachine {
    /// Takes in a poll of the table that was answered now.
    pub fn read_table(&mut self, now: Duration, snapshot: TableSnapshot) {
        if !self.accepts(&snapshot) {
            return;
        }
        self.merge_snapshot(now, snapshot);
        let Some(table) = self.table.take() else {
            return;
        };
        self.learn_members(now, &table.members.row);
        self.learn_configuration(now, &table);
        self.learn_hold(now, &table);
        self.learn_holdings(now, &table);
        self.table = Some(table);
        self.advance_attempts(now);
    }

    /// Tells whether the rows have as many seats, slot shares and shards as this daemon's settings;
    /// one with other settings would count other majorities, and must take no part.
    pub fn accepts(&self, snapshot: &TableSnapshot) -> bool {
        let (members, ownership) = (&snapshot.members, &snapshot.ownership);
        let seats = members.row.seats.len() == usize::from(self.settings.seats);
        let slots = ownership.row.slots.len() == usize::from(self.settings.slot_shares);
        let shards = ownership.row.shards.len() == usize::from(self.settings.shards);
        (members.version.is_none() || seats) && (ownership.version.is_none() || (slots && shards))
    }

    /// Takes note that the last write ended, whatever its outcome: a read decides what follows. No
    /// further write is made for `pause`, which spares a table that refused.
    pub fn end_commit(&mut self, now: Duration, pause: Duration) {
        self.committing = false;
        self.read_from = Some(now);
        self.write_from = now.saturating_add(pause);
        self.poll_wanted = true;
        if !self.settings.guards.has(Guard::ReleaseIsFinal) {
            self.releasing.clear();
            self.released.clear();
        }
    }

    /// Takes note that a write outside [`MemberMachine::tick`] is under way.
    pub(crate) fn begin_commit(&mut self) {
        self.committing = true;
    }

    /// Polls overlap, so an older row may arrive after a newer one; it must not take its place, or a
    /// superseded holder would see itself in force again.
    fn merge_snapshot(&mut self, now: Duration, mut snapshot: TableSnapshot) {
        if !self.settings.guards.has(Guard::CountFromPoll) {
            snapshot.asked_at = now;
        }
        let Some(table) = &mut self.table else {
            self.table = Some(snapshot);
            return;
        };
        if !self.settings.guards.has(Guard::RowsNeverRevert) {
            *table = snapshot;
            return;
        }
        keep_newer(&mut table.members, snapshot.members);
        keep_newer(&mut table.ownership, snapshot.ownership);
        keep_newer(&mut table.configuration, snapshot.configuration);
        table.asked_at = table.asked_at.max(snapshot.asked_at);
    }

    fn learn_members(&mut self, now: Duration, members: &MembersRow) {
        for (seat, record) in members.numbered() {
            self.known.raise_seat(seat, record.newest_epoch());
            let index = usize::from(seat.0);
            if index >= self.heard.len() {
                return;
            }
            let nonce = record
                .holder
                .as_ref()
                .map_or(0, |holder| holder.daemon.nonce);
            if self.heard[index].0 != nonce {
                self.heard[index] = (nonce, now);
                self.defended[index] = None;
            }
            let announced = record.intent.as_ref().map_or(0, |intent| intent.epoch);
            if self.intents[index].0 != announced {
                let withdrawn = announced == 0 && self.intents[index].0 < record.epoch;
                let same = record
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.incarnation < record.epoch);
                self.intents[index] = (announced, now);
                if withdrawn && same {
                    self.note_defence(now, seat, record);
                }
            }
        }
        self.learn_replaced(members);
    }

    /// Only the process itself defends its seat, so it lives, whatever a probe or the VM list said.
    fn note_defence(&mut self, now: Duration, seat: SeatNumber, record: &SeatRecord) {
        self.defended[usize::from(seat.0)] = Some(now);
        if let Some(id) = record.holder_id(seat) {
            self.observe_alive(id);
        }
    }

    /// A process whose address now belongs to another one is gone: two cannot listen there at once.
    /// This is what lets daemons that were all replaced at once take their seats.
    fn learn_replaced(&mut self, members: &MembersRow) {
        for (seat, record) in members.numbered() {
            let former = record.former.iter().map(|former| &former.holder);
            for holder in record.holder.iter().chain(former) {
                if is_replaced(members, &holder.daemon) {
                    self.gone.insert(HolderId {
                        seat,
                        incarnation: holder.incarnation,
                    });
                }
            }
        }
    }

    fn learn_configuration(&mut self, now: Duration, table: &TableSnapshot) {
        let header = &table.configuration.row;
        self.known
            .raise_configuration(header.newest_version(), header.version);
        if header.version <= self.in_force {
            self.confirm_configuration(table.asked_at);
        }
        let announced = header.intent.map_or(0, |intent| intent.version);
        if self.change_seen.0 != announced {
            self.change_seen = (announced, now);
        }
    }

    fn learn_hold(&mut self, now: Duration, table: &TableSnapshot) {
        let found = self.find_own_seat(&table.members.row);
        match (self.hold, found) {
            (None, Some(hold)) if self.lost.is_none() => self.begin_hold(now, hold),
            (Some(old), Some(new)) if old.id == new.id => self.hold = Some(new),
            (Some(old), _) => self.lose_hold(now, old.id),
            (None, _) => (),
        }
        let read_since = self
            .seated_at
            .is_some_and(|seated| table.asked_at >= seated);
        self.speaking |= self.hold.is_some() && read_since;
    }

    fn begin_hold(&mut self, now: Duration, hold: SeatHold) {
        self.hold = Some(hold);
        self.seated_at = Some(now);
        self.attempt = None;
        self.poll_wanted = true;
        self.speaking = !self.settings.guards.has(Guard::ReadBeforeSpeaking);
    }

    fn lose_hold(&mut self, now: Duration, id: HolderId) {
        self.hold = None;
        self.seated_at = None;
        self.speaking = false;
        self.attempt = None;
        self.change = None;
        self.lost = Some(id);
        self.lost_at = Some(now);
        self.poll_wanted = true;
    }

    fn find_own_seat(&self, members: &MembersRow) -> Option<SeatHold> {
        members.numbered().find_map(|(seat, record)| {
            let holder = record.holder.as_ref()?;
            (holder.daemon.nonce == self.daemon.nonce).then_some(SeatHold {
                id: HolderId {
                    seat,
                    incarnation: holder.incarnation,
                },
                epoch: record.epoch,
            })
        })
    }

    /// Returns the first write that is due.
    pub(crate) fn next_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if self.hold.is_none() {
            return match self.lost {
                Some(_) => self.returning_write(),
                None => self.claim_write(now),
            };
        }
        self.defence_write()
            .or_else(|| self.attempt_write(now))
            .or_else(|| self.change_write(now))
            .or_else(|| self.leave_write())
            .or_else(|| self.balance_write(now))
            .or_else(|| self.eviction_write(now))
    }

    pub(crate) fn members(&self) -> Option<&MembersRow> {
        self.table.as_ref().map(|table| &table.members.row)
    }

    pub(crate) fn members_write(&self, row: MembersRow) -> SharedWrite {
        let version = self.table.as_ref().and_then(|table| table.members.version);
        SharedWrite {
            members: Some(VersionedRow { version, row }),
            ..SharedWrite::default()
        }
    }

    /// Returns the seats in the order in which their daemons step in: this one's place in it spares
    /// the table the same write from everybody.
    pub(crate) fn rank(&self, now: Duration) -> u32 {
        let Some(hold) = self.hold else {
            return u32::from(self.settings.seats);
        };
        let before = (0..hold.id.seat.0).filter(|seat| self.is_heard(SeatNumber(*seat), now));
        before.map(|_| 1).sum()
    }
}

fn keep_newer<Row>(kept: &mut VersionedRow<Row>, read: VersionedRow<Row>) {
    if read.version >= kept.version {
        *kept = read;
    }
}

/// Tells whether a process that took a seat later, or is taking one, listens at this one's address.
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
    let seated = members
        .seats
        .iter()
        .filter_map(|record| record.holder.as_ref())
        .any(|holder| later(&holder.daemon));
    claimed || (former && seated)
}
