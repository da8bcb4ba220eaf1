//! An announced change of the configuration.

use serde::{
    Deserialize,
    Serialize, //
};

/// An announced change of the configuration that is not yet committed. Its document is already in
/// the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationIntent {
    /// The version that the change puts into force.
    pub version: u64,
    /// The nonce of the daemon that announced the change.
    pub by: u64,
}
