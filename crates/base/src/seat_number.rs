//! The number of a member's seat, counted from 0; the setting `seats` is the number of seats.

use crate::number_newtype::number_newtype;

number_newtype!(
    /// The number of a member's seat, counted from 0; the setting `seats` is the number of seats.
    SeatNumber(u8)
);
