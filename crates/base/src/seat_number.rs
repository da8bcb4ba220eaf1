//! The number of a member's seat; the settings say how many seats there are.

use derive_more::{
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The number of a member's seat; the settings say how many seats there are.
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
pub struct SeatNumber(pub u8);

impl SeatNumber {
    /// Returns the value that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
