//! What the keyed hash covers.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::WireBody;

/// What the keyed hash covers. A later minor version may add fields at the end, which older daemons
/// skip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePayload {
    /// The process that sends.
    pub sender: u64,
    /// The process that it is for.
    pub recipient: u64,
    /// Grows with each message of the sender.
    pub sequence: u64,
    /// What the message is about.
    pub body: WireBody,
}
