//! The name of a task's checkpoint.

use derive_more::{
    AsRef,
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The name under which a worker stored a checkpoint of a task's state.
#[derive(AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, PartialEq, Serialize)]
#[as_ref(str)]
#[from(String, &str)]
#[serde(transparent)]
pub struct CheckpointName(String);

impl CheckpointName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
