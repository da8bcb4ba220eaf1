//! How a seat is taken, emptied and defended.

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
    machine_table::RANK_DELAY,
    seat_attempt::SeatAttempt, //
};

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
            return now >= silent_since.saturating_add(self.probe_after() + delay);
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

    pub(crate) fn is_taken_for_gone(&self, id: HolderId) -> bool {
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
}
