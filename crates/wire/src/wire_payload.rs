//! The payload of a frame.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::WireBody;

/// The payload of a frame, encoded with postcard and covered by the keyed hash. A later minor
/// version may append fields, which older daemons skip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePayload {
    /// The nonce of the sending process.
    pub sender: u64,
    /// The nonce of the receiving process.
    pub recipient: u64,
    /// The sequence number, which increases with each frame that the sender encodes.
    pub sequence: u64,
    /// The message.
    pub body: WireBody,
}
