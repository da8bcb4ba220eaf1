//! The messages between members.

use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::PeerReport;

/// A message from one member to another. One exchange of messages serves as a heartbeat, notifies
/// the recipient of newer epochs and versions, and confirms to the sender that the recipient knows
/// none that are newer still.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The sender's seat, or the seat that it is taking.
    pub from: SeatNumber,
    /// The epoch at which the sender holds or takes the seat.
    pub epoch: u64,
    /// The nonce of the sender's process.
    pub nonce: u64,
    /// The nonce of the recipient's process.
    pub to: u64,
    /// The content of the message.
    pub body: PeerBody,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerBody {
    /// Reports what the sender knows, and asks the recipient to report anything newer.
    Ask {
        /// The number of the round of asks, which increases with each round.
        number: u64,
        /// The newest epochs and versions known to the sender.
        report: PeerReport,
    },
    /// Confirms that the recipient of the `Ask` now knows everything in it, and reports what it
    /// knows itself.
    Answer {
        /// The number of the `Ask` message that this answers.
        number: u64,
        /// The newest epochs and versions known to the sender.
        report: PeerReport,
    },
}

impl PeerBody {
    /// Returns the sender's report.
    pub fn report(&self) -> &PeerReport {
        match self {
            Self::Ask { report, .. } | Self::Answer { report, .. } => report,
        }
    }
}
