//! The change of a seat that this daemon is making.

use std::time::Duration;

use jasminebend_base::SeatNumber;

/// The change of a seat that this daemon is making.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SeatAttempt {
    pub(crate) seat: SeatNumber,
    pub(crate) epoch: u64,
    /// Whether this daemon will sit there; otherwise the seat is emptied.
    pub(crate) claim: bool,
    /// When it was begun.
    pub(crate) begun_at: Duration,
    /// The first ask that told of it; `None` until the table shows the intent.
    pub(crate) told_from: Option<u64>,
    /// When more than half were found to be told.
    pub(crate) told_at: Option<Duration>,
}
