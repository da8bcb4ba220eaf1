//! The process that holds a seat.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::DaemonRecord;

/// The process that holds a seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatHolder {
    /// The seat's epoch at which this process took it.
    pub incarnation: u64,
    /// The description of the process.
    pub daemon: DaemonRecord,
}
