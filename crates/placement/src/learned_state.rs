//! What a shard's owner learned.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassBook,
    PairModel,
    SizeModel, //
};

/// What a shard's owner learned, with the keys of the classes that it speaks of. No safety rests on
/// it; its loss costs the time to learn it again.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LearnedState {
    /// The classes.
    pub book: ClassBook,
    /// What they use.
    pub sizes: SizeModel,
    /// How they hurt services.
    pub pairs: PairModel,
}

impl LearnedState {
    /// Goes on at another clock's time.
    pub fn rebase(&mut self, now: Duration) {
        self.pairs.rebase(now);
    }
}
