//! The content of a message between daemons.

use jasminebend_ownership::PeerMessage;
use serde::{
    Deserialize,
    Serialize, //
};

/// The content of a message between daemons. New kinds of messages must be appended, because the
/// position of a variant is its encoding; a daemon of an older minor version ignores them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WireBody {
    /// A message of the ownership protocol: a heartbeat, which also notifies the recipient of newer
    /// epochs and confirms that the sender knows none that are newer still.
    Member(PeerMessage),
    /// Requests the document of a committed configuration.
    DocumentRequest {
        /// The version of the configuration.
        version: u64,
    },
    /// The document of a committed configuration.
    Document {
        /// The version of the configuration.
        version: u64,
        /// The document, with the same bytes as in the table.
        document: Vec<u8>,
    },
}
