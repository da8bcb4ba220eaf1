//! How a seat is taken, emptied and defended.

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
    SeatIntent,
    SeatRecord,
    SharedWrite,
    VersionedRow,
    seat_attempt::SeatAttempt, //
};

/// By how much each daemon of a later rank waits longer before it steps in.
const RANK_DELAY: Duration = Duration::from_millis(700);

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
    /// Returns the write that takes a seat: at once if it is empty, otherwise its announcement and,
    /// once more than half were told, the change itself.
    pub(crate) fn claim_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if self.leaving {
            return None;
        }
        if self.attempt.is_some() {
            return self.attempt_write(now);
        }
        let table = self.table.as_ref()?;
        let mut members = table.members.row.clone();
        if table.members.version.is_none() {
            members = MembersRow::new(self.settings.seats);
        }
        let own_address = self.seat_at_own_address(&members);
        if let Some((seat, id)) = own_address {
            self.gone.insert(id);
            return self.announce(now, members, seat, true);
        }
        if let Some(seat) = self.empty_seat(&members, now) {
            return self.sit_down(members, seat);
        }
        let seat = members
            .numbered()
            .find(|(seat, record)| {
                record
                    .holder_id(*seat)
                    .is_some_and(|id| self.gone.contains(&id))
                    && self.is_free_of_intents(*seat, now)
            })
            .map(|(seat, _)| seat)?;
        self.announce(now, members, seat, true)
    }

    /// A process that listens where another one did proves that the other one is gone.
    fn seat_at_own_address(&self, members: &MembersRow) -> Option<(SeatNumber, HolderId)> {
        members.numbered().find_map(|(seat, record)| {
            let holder = record.holder.as_ref()?;
            let same = holder.daemon.peer == self.daemon.peer;
            let other = holder.daemon.nonce != self.daemon.nonce;
            (same && other).then_some((seat, record.holder_id(seat)?))
        })
    }

    fn empty_seat(&self, members: &MembersRow, now: Duration) -> Option<SeatNumber> {
        members
            .numbered()
            .find(|(seat, record)| record.holder.is_none() && self.is_free_of_intents(*seat, now))
            .map(|(seat, _)| seat)
    }

    fn sit_down(&self, mut members: MembersRow, seat: SeatNumber) -> Option<SharedWrite> {
        let record = members.seat_mut(seat)?;
        let epoch = record.newest_epoch() + 1;
        record.epoch = epoch;
        record.intent = None;
        record.holder = Some(SeatHolder {
            incarnation: epoch,
            daemon: self.daemon.clone(),
        });
        Some(self.members_write(members))
    }

    /// An intent whose maker left it unfinished may be replaced after some time.
    fn is_free_of_intents(&self, seat: SeatNumber, now: Duration) -> bool {
        self.intents
            .get(usize::from(seat.0))
            .is_none_or(|(epoch, seen)| {
                *epoch == 0 || now >= seen.saturating_add(self.settings.finish_after)
            })
    }

    fn announce(
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
        let announced = self.settings.guards.has(Guard::IntentBeforeTelling);
        self.attempt = Some(SeatAttempt {
            seat,
            epoch,
            claim,
            begun_at: now,
            told_from: (!announced).then_some(self.next_ask),
            told_at: None,
        });
        if !announced {
            self.known.raise_seat(seat, epoch);
            return None;
        }
        Some(self.members_write(members))
    }

    /// Empties the seat of a daemon that nobody hears, so that its shards move on.
    pub(crate) fn eviction_write(&mut self, now: Duration) -> Option<SharedWrite> {
        if !self.speaking || self.attempt.is_some() || self.leaving {
            return None;
        }
        let members = self.members()?.clone();
        let seat = members
            .numbered()
            .find(|(seat, record)| self.is_lost(*seat, record, now))
            .map(|(seat, _)| seat)?;
        let reachable = self.count_reachable(&members, seat, now);
        let enough = reachable * 2 >= members.seats.len();
        if !enough && self.settings.guards.has(Guard::TellMajority) {
            return None;
        }
        self.announce(now, members, seat, false)
    }

    fn is_lost(&self, seat: SeatNumber, record: &SeatRecord, now: Duration) -> bool {
        let Some(id) = record.holder_id(seat) else {
            return false;
        };
        let own = self.hold.is_some_and(|hold| hold.id == id);
        if own || self.is_heard(seat, now) || !self.is_free_of_intents(seat, now) {
            return false;
        }
        let delay = RANK_DELAY * self.rank(now);
        let silent_since = self.heard[usize::from(seat.0)].1;
        if self.gone.contains(&id) {
            return now >= silent_since.saturating_add(self.settings.probe_after + delay);
        }
        let defended = self.defended[usize::from(seat.0)]
            .is_some_and(|at| now < at.saturating_add(self.settings.defended_for));
        let silent = now >= silent_since.saturating_add(self.settings.silent_after + delay);
        silent && !defended && !self.is_heard_by_peers(seat, now)
    }

    fn is_heard_by_peers(&self, seat: SeatNumber, now: Duration) -> bool {
        self.vouching(now)
            .any(|vouch| vouch.heard & (1 << seat.0) != 0)
    }

    fn count_reachable(&self, members: &MembersRow, target: SeatNumber, now: Duration) -> usize {
        members
            .numbered()
            .filter(|(seat, record)| {
                *seat != target
                    && record
                        .holder_id(*seat)
                        .is_none_or(|id| self.is_heard(*seat, now) || self.is_taken_for_gone(id))
            })
            .count()
    }

    fn is_taken_for_gone(&self, id: HolderId) -> bool {
        self.gone.contains(&id) || !self.settings.guards.has(Guard::SilenceIsNotGone)
    }

    /// A daemon that reads that its seat is about to be emptied is evidently not gone: it keeps the
    /// seat under a new epoch, which also makes the other's commit fail.
    pub(crate) fn defence_write(&self) -> Option<SharedWrite> {
        let hold = self.hold?;
        let mut members = self.members()?.clone();
        let record = members.seat_mut(hold.id.seat)?;
        let epoch = record.intent.take()?.epoch;
        record.epoch = epoch + 1;
        Some(self.members_write(members))
    }

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
        self.drop_former(&mut members, ownership.as_ref().map(|row| &row.row));
        let mut write = self.members_write(members);
        write.ownership = ownership;
        Some(write)
    }

    fn drop_former(&self, members: &mut MembersRow, ownership: Option<&OwnershipRow>) {
        let Some(table) = &self.table else {
            return;
        };
        let ownership = ownership.unwrap_or(&table.ownership.row);
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

    fn after_seat_change(
        &self,
        members: &MembersRow,
        attempt: &SeatAttempt,
        old: Option<HolderId>,
    ) -> Option<VersionedRow<OwnershipRow>> {
        let table = self.table.as_ref()?;
        table.ownership.version?;
        let mut row = table.ownership.row.clone();
        if let (true, Some(old)) = (attempt.claim, old) {
            let id = HolderId {
                seat: attempt.seat,
                incarnation: attempt.epoch,
            };
            self.inherit(&mut row, old, id);
        }
        self.assign_orphans(members, &mut row);
        (row != table.ownership.row).then_some(VersionedRow {
            version: table.ownership.version,
            row,
        })
    }
}

impl MemberMachine {
    pub(crate) fn told_majority(&self, told_from: Option<u64>) -> bool {
        let count = self.count_told(None, told_from);
        count.asked > 0 && count.is_majority()
    }
}
