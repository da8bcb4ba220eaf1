//! The table row with all seats.

use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    HolderId,
    SeatRecord, //
};

/// The table row with all seats, so that one read shows them at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembersRow {
    /// The seats, by number.
    pub seats: Vec<SeatRecord>,
}

impl MembersRow {
    /// Creates a row of empty seats.
    pub fn new(seats: u8) -> Self {
        Self {
            seats: vec![SeatRecord::default(); usize::from(seats)],
        }
    }

    /// Returns a seat; `None` if the row has no such seat.
    pub fn seat(&self, seat: SeatNumber) -> Option<&SeatRecord> {
        self.seats.get(usize::from(seat.0))
    }

    /// Returns a seat for modification; `None` if the row has no such seat.
    pub fn seat_mut(&mut self, seat: SeatNumber) -> Option<&mut SeatRecord> {
        self.seats.get_mut(usize::from(seat.0))
    }

    /// Returns the seats with their numbers.
    pub fn numbered(&self) -> impl Iterator<Item = (SeatNumber, &SeatRecord)> {
        (0u8..).map(SeatNumber).zip(&self.seats)
    }

    /// Returns the identities of the processes that hold seats.
    pub fn holder_ids(&self) -> impl Iterator<Item = HolderId> {
        self.numbered()
            .filter_map(|(seat, record)| record.holder_id(seat))
    }

    /// Returns whether a process still holds its seat.
    pub fn is_seated(&self, id: HolderId) -> bool {
        self.seat(id.seat)
            .and_then(|record| record.holder_id(id.seat))
            == Some(id)
    }

    /// Returns whether a process held a seat and has lost it. A poll may have read the resources'
    /// row later than this one: a holder whose seat has an epoch lower than its incarnation here is
    /// one that has just taken the seat.
    pub fn has_lost_seat(&self, id: HolderId) -> bool {
        let known = self
            .seat(id.seat)
            .is_some_and(|record| record.epoch >= id.incarnation);
        known && !self.is_seated(id)
    }
}
