//! What members say to each other.

use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::PeerReport;

/// What members say to each other: one exchange is heartbeat, telling and vouching in one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The sender's seat, or the seat that it is taking.
    pub from: SeatNumber,
    /// The seat's epoch, as the sender holds or takes it.
    pub epoch: u64,
    /// The sender's process.
    pub nonce: u64,
    /// The process that the message is for.
    pub to: u64,
    /// What is said.
    pub body: PeerBody,
}

/// What is said.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerBody {
    /// Tells what the sender knows, and asks whether the recipient knows of anything newer.
    Ask {
        /// Grows with each round of asking.
        number: u64,
        /// What the sender knows.
        report: PeerReport,
    },
    /// Says that the recipient now knows all that was told, and what it knows itself.
    Answer {
        /// The number of the ask.
        number: u64,
        /// What the sender knows.
        report: PeerReport,
    },
}

impl PeerBody {
    /// Returns what the sender knows.
    pub fn report(&self) -> &PeerReport {
        match self {
            Self::Ask { report, .. } | Self::Answer { report, .. } => report,
        }
    }
}
