//! The table row with the version of the configuration in force.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigurationIntent;

/// The table row with the version of the configuration in force and the announced change. The
/// document is stored in a row of its own, so that a poll reads a few bytes however large the
/// document is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationHeader {
    /// The version in force; zero before the first change.
    pub version: u64,
    /// The announced change that is not yet committed; `None` if there is none.
    pub intent: Option<ConfigurationIntent>,
}

impl ConfigurationHeader {
    /// Returns the highest version in the row, announced or in force.
    pub fn newest_version(&self) -> u64 {
        let announced = self.intent.map_or(0, |intent| intent.version);
        self.version.max(announced)
    }
}
