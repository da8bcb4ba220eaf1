//! The seat that this daemon holds.

use crate::HolderId;

/// The seat that this daemon holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeatHold {
    /// The identity under which resources are held.
    pub id: HolderId,
    /// The seat's epoch as last confirmed by the table.
    pub epoch: u64,
}
