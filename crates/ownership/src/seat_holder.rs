//! Who sits in a seat.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::DaemonRecord;

/// Who sits in a seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatHolder {
    /// The seat's epoch when this process took it.
    pub incarnation: u64,
    /// The process.
    pub daemon: DaemonRecord,
}
