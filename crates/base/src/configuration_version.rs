//! The version of the configuration; each accepted change adds one.

use derive_more::{
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The version of the configuration; each accepted change adds one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

impl ConfigurationVersion {
    /// Returns the value that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
