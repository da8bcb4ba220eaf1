//! The number of a member's seat; the settings say how many seats there are.

use crate::count_type::count_type;

count_type!(
    /// The number of a member's seat; the settings say how many seats there are.
    SeatNumber(u8)
);
