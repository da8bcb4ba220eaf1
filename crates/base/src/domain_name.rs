//! The name of a failure domain.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name of a failure domain.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct DomainName(String);

impl DomainName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
