//! An announced change of a seat.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::DaemonRecord;

/// An announced change of a seat. It is in the table before any member is notified of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatIntent {
    /// The epoch that the seat has after the change.
    pub epoch: u64,
    /// The nonce of the daemon that announced the change.
    pub by: u64,
    /// The daemon that takes the seat; `None` if the change empties the seat.
    pub claim: Option<DaemonRecord>,
}
