//! The name under which a worker kept a checkpoint of a task.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name under which a worker kept a checkpoint of a task.
#[derive(
    AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct CheckpointId(String);

impl CheckpointId {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
