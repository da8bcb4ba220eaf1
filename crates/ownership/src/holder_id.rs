//! Which run of which daemon holds something.

use derive_more::Display;
use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

/// One process that sat in a seat: the seat, and the seat's epoch at which the process took it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("seat {seat} incarnation {incarnation}")]
pub struct HolderId {
    /// The seat.
    pub seat: SeatNumber,
    /// The seat's epoch when this process took it; no other process ever has the same.
    pub incarnation: u64,
}
