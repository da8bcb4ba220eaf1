//! What a message is about.

use jasminebend_ownership::PeerMessage;
use serde::{
    Deserialize,
    Serialize, //
};

/// What a message is about. New kinds are added at the end; a daemon of an older version does not
/// know them and ignores them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WireBody {
    /// Membership: heartbeat, telling and vouching.
    Member(PeerMessage),
    /// Asks for the document of a configuration.
    DocumentRequest {
        /// The version.
        version: u64,
    },
    /// The document of a committed configuration.
    Document {
        /// The version.
        version: u64,
        /// The document as it stands in the table.
        document: Vec<u8>,
    },
}
