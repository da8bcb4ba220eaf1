//! What a shard's owner learned about classes and services.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassRegistry,
    InterferenceModel,
    ResourceUsageModel, //
};

/// What a shard's owner learned about classes and services, with the keys that identify the
/// classes. No safety property depends on it: if it is lost, it only has to be learned again.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LearnedState {
    /// The classes that the keys in both models stand for.
    #[serde(rename = "book")]
    pub classes: ClassRegistry,
    /// The resources and the run time that tasks of each class use.
    #[serde(rename = "sizes")]
    pub usage: ResourceUsageModel,
    /// How much each class slows each service.
    #[serde(rename = "pairs")]
    pub interference: InterferenceModel,
}

impl LearnedState {
    /// Moves the stored times to `now` on the present owner's monotonic clock, since the times of
    /// the former owner's clock mean nothing here.
    pub fn rebase(&mut self, now: Duration) {
        self.interference.rebase(now);
    }
}
