//! The epoch of a resource; each change of its holder adds one.

use derive_more::{
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The epoch of a resource; each change of its holder adds one.
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
pub struct OwnerEpoch(pub u64);

impl OwnerEpoch {
    /// Returns the value that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
