//! The key of a row: path segments joined by slashes.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The key of a row: path segments joined by slashes.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
