//! How an announced change of a seat is carried through: told, waited for and committed.

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
    seat_attempt::SeatAttempt, //
};

/// How many were told of a change.
struct ToldCount {
    told: usize,
    asked: usize,
    /// Whether each of them is alive and said so, or has an empty seat.
    all_answered: bool,
}

impl ToldCount {
    fn is_majority(&self) -> bool {
        self.told * 2 > self.asked
    }
}

impl MemberMachine {
    pub(crate) fn advance_attempts(&mut self, now: Duration) {
        self.advance_seat(now);
        self.advance_change(now);
    }

    fn advance_seat(&mut self, now: Duration) {
        let Some(mut attempt) = self.attempt else {
            return;
        };
        if self.settings.guards.has(Guard::IntentBeforeTelling) && !self.shows_intent(&attempt) {
            if self.has_settled_write() {
                self.attempt = None;
            }
            return;
        }
        if attempt.told_from.is_none() {
            attempt.told_from = Some(self.next_ask);
            self.asked_at = None;
        }
        let count = self.count_told(Some(attempt.seat), attempt.told_from);
        if count.is_majority() || !self.settings.guards.has(Guard::TellMajority) {
            attempt.told_at.get_or_insert(now);
        }
        self.attempt = Some(attempt);
    }

    fn shows_intent(&self, attempt: &SeatAttempt) -> bool {
        self.members()
            .and_then(|members| members.seat(attempt.seat))
            .and_then(|record| record.intent.as_ref())
            .is_some_and(|intent| intent.epoch == attempt.epoch && intent.by == self.daemon.nonce)
    }

    /// Counts the seats, but `target`, whose daemons can vouch for nothing older any more: told and
    /// answered, empty, or known to be gone. The seats are those read together with the intent, so
    /// that whoever sits down later has read it.
    fn count_told(&self, target: Option<SeatNumber>, told_from: Option<u64>) -> ToldCount {
        let mut count = ToldCount {
            told: 0,
            asked: 0,
            all_answered: true,
        };
        let (Some(members), Some(told_from)) = (self.members(), told_from) else {
            return count;
        };
        for (seat, record) in members.numbered().filter(|(seat, _)| Some(*seat) != target) {
            let answered = self.has_answered(seat, record, told_from);
            let gone = record
                .holder_id(seat)
                .is_some_and(|id| self.is_taken_for_gone(id));
            count.asked += 1;
            count.told += usize::from(answered || gone);
            count.all_answered &= answered;
        }
        count
    }

    fn has_answered(&self, seat: SeatNumber, record: &SeatRecord, told_from: u64) -> bool {
        let Some(holder) = &record.holder else {
            return true;
        };
        let vouch = &self.vouches[usize::from(seat.0)];
        let own = holder.daemon.nonce == self.daemon.nonce;
        own || (vouch.nonce == holder.daemon.nonce
            && vouch.epoch >= record.epoch
            && vouch.number >= told_from)
    }

    /// Returns the write that ends the attempt, once it may be made.
    pub(crate) fn attempt_write(&mut self, now: Duration) -> Option<SharedWrite> {
        let attempt = self.attempt?;
        let expired = now
            >= attempt
                .begun_at
                .saturating_add(self.settings.finish_after * 4);
        if expired {
            self.attempt = None;
            return None;
        }
        let told_at = attempt.told_at?;
        let waited = now >= told_at.saturating_add(self.full_wait(self.settings.freshness));
        let needless = self.needs_no_wait(&attempt);
        if !waited && !needless && self.settings.guards.has(Guard::WaitAfterTelling) {
            return None;
        }
        self.seat_write(&attempt)
    }

    /// Nobody is left whose vouches must lapse: every other member answered, and the seat's process
    /// is gone because this one listens at its address.
    fn needs_no_wait(&self, attempt: &SeatAttempt) -> bool {
        let replaced = self
            .members()
            .and_then(|members| members.seat(attempt.seat))
            .and_then(|record| record.holder.as_ref())
            .is_some_and(|holder| holder.daemon.peer == self.daemon.peer);
        let count = self.count_told(Some(attempt.seat), attempt.told_from);
        attempt.claim && replaced && count.all_answered
    }

    fn seat_write(&mut self, attempt: &SeatAttempt) -> Option<SharedWrite> {
        let table = self.table.as_ref()?;
        let mut members = table.members.row.clone();
        let record = members.seat_mut(attempt.seat)?;
        let old = record.holder_id(attempt.seat);
        if let Some(holder) = record.holder.take() {
            record.former.push(FormerHolder { holder });
        }
        record.epoch = attempt.epoch;
        record.intent = None;
        if attempt.claim {
            record.holder = Some(SeatHolder {
                incarnation: attempt.epoch,
                daemon: self.daemon.clone(),
            });
        }
        let ownership = self.after_seat_change(&members, attempt, old);
        drop_former(&mut members, &ownership.row);
        let mut write = self.members_write(members);
        write.ownership = ownership.version.is_some().then_some(ownership);
        Some(write)
    }

    /// Returns the resources after the change. They are written even if they are the same, so that
    /// nothing can have been given to the seat's former holder meanwhile.
    fn after_seat_change(
        &self,
        members: &MembersRow,
        attempt: &SeatAttempt,
        old: Option<HolderId>,
    ) -> VersionedRow<OwnershipRow> {
        let mut ownership = self
            .table
            .as_ref()
            .map(|table| table.ownership.clone())
            .unwrap_or_default();
        if let (true, Some(old)) = (attempt.claim, old) {
            let id = HolderId {
                seat: attempt.seat,
                incarnation: attempt.epoch,
            };
            self.inherit(&mut ownership.row, old, id);
        }
        self.assign_orphans(members, &mut ownership.row);
        ownership
    }

    /// Tells whether more than half of all members can vouch for nothing older any more.
    pub(crate) fn told_majority(&self, told_from: Option<u64>) -> bool {
        let count = self.count_told(None, told_from);
        count.asked > 0 && count.is_majority()
    }
}

/// Forgets former holders that hold nothing any more.
fn drop_former(members: &mut MembersRow, ownership: &OwnershipRow) {
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
