//! A seat change that this daemon carries out.

use std::time::Duration;

use jasminebend_base::SeatNumber;

/// A seat change that this daemon has announced and carries out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SeatChange {
    /// The seat that changes.
    pub(crate) seat: SeatNumber,
    /// The epoch that the seat has after the change.
    pub(crate) epoch: u64,
    /// Whether this daemon takes the seat; otherwise the seat is emptied.
    pub(crate) claim: bool,
    /// When the change was announced.
    pub(crate) announced_at: Duration,
    /// The number of the first `Ask` message that reported the change to the peers; `None` until
    /// the table shows the intent.
    pub(crate) first_ask_number: Option<u64>,
    /// When more than half of the members were found to be notified; `None` before that.
    pub(crate) majority_notified_at: Option<Duration>,
}
