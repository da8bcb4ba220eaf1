//! The announced change of the configuration.

use serde::{
    Deserialize,
    Serialize, //
};

/// The announced change of the configuration; its document is already in the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationIntent {
    /// The version that the configuration will have.
    pub version: u64,
    /// The nonce of the daemon that makes the change.
    pub by: u64,
}
