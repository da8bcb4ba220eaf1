//! A process that lost its seat and still holds slot shares.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::SeatHolder;

/// A process that lost its seat and is not known to have terminated, so that the slot shares that
/// it held stay unused. The record lets the other members continue to probe the process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerHolder {
    /// The process and the address at which it was reached.
    pub holder: SeatHolder,
}
