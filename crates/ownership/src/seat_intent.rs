//! The announced change of a seat.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::DaemonRecord;

/// The announced change of a seat; it stands in the row before any member is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatIntent {
    /// The epoch that the seat will have.
    pub epoch: u64,
    /// The nonce of the daemon that makes the change.
    pub by: u64,
    /// Who will sit there; `None` empties the seat.
    pub claim: Option<DaemonRecord>,
}
