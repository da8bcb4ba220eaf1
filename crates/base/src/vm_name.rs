//! The platform's name of a VM; a replaced VM may come back under the same one.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The platform's name of a VM; a replaced VM may come back under the same one.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct VmName(String);

impl VmName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
