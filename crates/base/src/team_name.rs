//! The name of a team with a quota.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name of a team with a quota.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct TeamName(String);

impl TeamName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
