//! The row that says which configuration is in force.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigurationIntent;

/// The row that says which configuration is in force. The document has a row of its own, so that a
/// poll reads a few bytes however large the document is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationHeader {
    /// The version in force; zero before the first change.
    pub version: u64,
    /// The change under way.
    pub intent: Option<ConfigurationIntent>,
}

impl ConfigurationHeader {
    /// Returns the highest version that the row names, announced or in force.
    pub fn newest_version(&self) -> u64 {
        let announced = self.intent.map_or(0, |intent| intent.version);
        self.version.max(announced)
    }
}
