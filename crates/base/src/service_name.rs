//! The name of a service that endpoints serve.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name of a service that endpoints serve.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct ServiceName(String);

impl ServiceName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
