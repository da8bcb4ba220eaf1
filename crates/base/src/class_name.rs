//! The name of a class of work, as operators declare it.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name of a class of work, as operators declare it.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct ClassName(String);

impl ClassName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
