//! Carries an announced seat change through: notifies the members, waits, and commits.

use std::time::Duration;

use jasminebend_base::SeatNumber;

use crate::{
    FormerHolder,
    Guard,
    HolderId,
    MemberMachine,
    MembersRow,
    OwnershipRow,
    SeatHolder,
    SeatRecord,
    SharedWrite,
    VersionedRow,
    seat_change::SeatChange, //
};

/// The number of seats whose daemons were notified of an announced change.
struct NotifiedCount {
    /// The counted seats that can no longer confirm anything older.
    notified: usize,
    /// All counted seats.
    total: usize,
    /// Whether every counted seat is empty or its daemon answered; a daemon known to have
    /// terminated does not count as having answered.
    all_answered: bool,
}

impl NotifiedCount {
    fn is_majority(&self) -> bool {
        self.notified * 2 > self.total
    }
}

impl MemberMachine {
    /// Advances the seat change and the configuration change in progress.
    pub(crate) fn advance_changes(&mut self, now: Duration) {
        self.advance_seat_change(now);
        self.advance_configuration_change(now);
    }

    fn advance_seat_change(&mut self, now: Duration) {
        let Some(mut seat_change) = self.seat_change else {
            return;
        };
        if self
            .settings
            .guards
            .is_enabled(Guard::IntentBeforeNotification)
            && !self.is_intent_in_table(&seat_change)
        {
            if self.has_settled_write() {
                self.seat_change = None;
            }
            return;
        }
        if seat_change.first_ask_number.is_none() {
            seat_change.first_ask_number = Some(self.next_ask_number);
            self.last_ask_at = None;
        }
        let count = self.count_notified(Some(seat_change.seat), seat_change.first_ask_number);
        if count.is_majority() || !self.settings.guards.is_enabled(Guard::NotifyMajority) {
            seat_change.majority_notified_at.get_or_insert(now);
        }
        self.seat_change = Some(seat_change);
    }

    /// Returns whether the table, as last read, contains this daemon's intent for the seat change.
    fn is_intent_in_table(&self, seat_change: &SeatChange) -> bool {
        self.members()
            .and_then(|members| members.seat(seat_change.seat))
            .and_then(|record| record.intent.as_ref())
            .is_some_and(|intent| {
                intent.epoch == seat_change.epoch && intent.by == self.daemon.nonce
            })
    }

    /// Counts the seats except `target` whose daemons can no longer confirm anything older than the
    /// change: those that answered, are empty, or are held by a process known to have terminated.
    /// The seats are those read together with the intent, so that a daemon that takes a seat later
    /// has read the intent.
    fn count_notified(
        &self,
        target: Option<SeatNumber>,
        first_ask_number: Option<u64>,
    ) -> NotifiedCount {
        let mut count = NotifiedCount {
            notified: 0,
            total: 0,
            all_answered: true,
        };
        let (Some(members), Some(first_ask_number)) = (self.members(), first_ask_number) else {
            return count;
        };
        for (seat, record) in members.numbered().filter(|(seat, _)| Some(*seat) != target) {
            let answered = self.has_answered(seat, record, first_ask_number);
            let terminated = record
                .holder_id(seat)
                .is_some_and(|id| self.is_presumed_terminated(id));
            count.total += 1;
            count.notified += usize::from(answered || terminated);
            count.all_answered &= answered;
        }
        count
    }

    /// Returns whether a seat is empty, is this daemon's own, or its daemon answered an `Ask`
    /// message numbered `told_from` or higher.
    fn has_answered(&self, seat: SeatNumber, record: &SeatRecord, first_ask_number: u64) -> bool {
        let Some(holder) = &record.holder else {
            return true;
        };
        let confirmation = &self.confirmations[usize::from(seat.0)];
        let own = holder.daemon.nonce == self.daemon.nonce;
        own || (confirmation.nonce == holder.daemon.nonce
            && confirmation.epoch >= record.epoch
            && confirmation.number >= first_ask_number)
    }

    /// Returns the write that commits the announced seat change once this is allowed. Abandons the
    /// change when it has taken too long.
    pub(crate) fn seat_commit_write(&mut self, now: Duration) -> Option<SharedWrite> {
        let seat_change = self.seat_change?;
        let expired = now
            >= seat_change
                .announced_at
                .saturating_add(self.settings.abandoned_after * 4);
        if expired {
            self.seat_change = None;
            return None;
        }
        let majority_notified_at = seat_change.majority_notified_at?;
        let waited = now
            >= majority_notified_at.saturating_add(self.with_drift_margin(self.settings.freshness));
        let needless = self.can_skip_wait(&seat_change);
        if !waited
            && !needless
            && self
                .settings
                .guards
                .is_enabled(Guard::WaitAfterNotification)
        {
            return None;
        }
        self.build_seat_commit(&seat_change)
    }

    /// Returns whether no confirmation is left that must expire first: every other member answered,
    /// and the seat's former process has terminated, as this process listens at its address.
    fn can_skip_wait(&self, seat_change: &SeatChange) -> bool {
        let replaced = self
            .members()
            .and_then(|members| members.seat(seat_change.seat))
            .and_then(|record| record.holder.as_ref())
            .is_some_and(|holder| holder.daemon.peer == self.daemon.peer);
        let count = self.count_notified(Some(seat_change.seat), seat_change.first_ask_number);
        seat_change.claim && replaced && count.all_answered
    }

    /// Returns the write that commits the seat change and reassigns the resources of the seat's
    /// former holder as far as this is allowed.
    fn build_seat_commit(&mut self, seat_change: &SeatChange) -> Option<SharedWrite> {
        let table = self.table.as_ref()?;
        let mut members = table.members.row.clone();
        let record = members.seat_mut(seat_change.seat)?;
        let old = record.holder_id(seat_change.seat);
        if let Some(holder) = record.holder.take() {
            record.former.push(FormerHolder { holder });
        }
        record.epoch = seat_change.epoch;
        record.intent = None;
        if seat_change.claim {
            record.holder = Some(SeatHolder {
                incarnation: seat_change.epoch,
                daemon: self.daemon.clone(),
            });
        }
        let ownership = self.ownership_after_seat_change(&members, seat_change, old);
        remove_former_without_resources(&mut members, &ownership.row);
        let mut write = self.members_row_write(members);
        write.ownership = ownership.version.is_some().then_some(ownership);
        Some(write)
    }

    /// Returns the resources' row after the seat change. It is part of the write even if it is
    /// unchanged, so that a concurrent write that assigns a resource to the seat's former holder
    /// conflicts with it.
    fn ownership_after_seat_change(
        &self,
        members: &MembersRow,
        seat_change: &SeatChange,
        old: Option<HolderId>,
    ) -> VersionedRow<OwnershipRow> {
        let mut ownership = self
            .table
            .as_ref()
            .map(|table| table.ownership.clone())
            .unwrap_or_default();
        if let (true, Some(old)) = (seat_change.claim, old) {
            let id = HolderId {
                seat: seat_change.seat,
                incarnation: seat_change.epoch,
            };
            self.assign_to_successor(&mut ownership.row, old, id);
        }
        self.assign_orphans(members, &mut ownership.row);
        ownership
    }

    /// Returns whether more than half of all members can no longer confirm anything older.
    pub(crate) fn is_majority_notified(&self, first_ask_number: Option<u64>) -> bool {
        let count = self.count_notified(None, first_ask_number);
        count.total > 0 && count.is_majority()
    }
}

/// Removes the former holders that hold no resource any more.
fn remove_former_without_resources(members: &mut MembersRow, ownership: &OwnershipRow) {
    for (seat, record) in (0u8..).map(SeatNumber).zip(&mut members.seats) {
        record.former.retain(|former| {
            let id = HolderId {
                seat,
                incarnation: former.holder.incarnation,
            };
            ownership.held_by(id).next().is_some()
        });
    }
}
