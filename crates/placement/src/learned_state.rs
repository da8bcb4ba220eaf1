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
    pub book: ClassRegistry,
    /// The resources and the run time that tasks of each class use.
    pub sizes: ResourceUsageModel,
    /// How much each class slows each service.
    pub pairs: InterferenceModel,
}

impl LearnedState {
    /// Moves the stored times to `now` on the present owner's monotonic clock, since the times of
    /// the former owner's clock mean nothing here.
    pub fn rebase(&mut self, now: Duration) {
        self.pairs.rebase(now);
    }
}
