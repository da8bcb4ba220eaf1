//! The seat that this daemon holds.

use crate::HolderId;

/// The seat that this daemon holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSeat {
    /// The identity under which this daemon holds resources.
    pub id: HolderId,
    /// The seat's epoch as last read from the table.
    pub epoch: u64,
}
