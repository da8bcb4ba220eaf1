//! The identity of a process that holds a seat.

use derive_more::Display;
use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

/// The identity of a process that holds or held a seat: the seat, and the seat's epoch at which the
/// process took it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("seat {seat} incarnation {incarnation}")]
pub struct HolderId {
    /// The number of the seat.
    pub seat: SeatNumber,
    /// The seat's epoch at which this process took it; no other process ever has the same.
    pub incarnation: u64,
}
