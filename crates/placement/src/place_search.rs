//! The best place found so far.

use crate::{
    WaitReason,
    WorkerKey, //
};

/// The best place found so far, and why others will not do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceSearch {
    /// The job's tasks in the failure domain that is searched.
    pub(crate) crowd: u32,
    pub(crate) compared: usize,
    pub(crate) best: Option<(u32, f64, WorkerKey)>,
    pub(crate) reason: WaitReason,
}

impl PlaceSearch {
    pub(crate) fn new() -> Self {
        Self {
            crowd: 0,
            compared: 0,
            best: None,
            reason: WaitReason::NoRoom,
        }
    }

    /// Takes a place in; the fewer of the job's tasks in its failure domain the better, then the lower
    /// its score.
    pub(crate) fn take(&mut self, score: f64, key: WorkerKey) {
        self.compared += 1;
        let rank = (self.crowd, score);
        if self.best.is_none_or(|best| rank < (best.0, best.1)) {
            self.best = Some((self.crowd, score, key));
        }
    }

    /// Notes why a place will not do; that services would be slowed tells more than the rest.
    pub(crate) fn note(&mut self, reason: WaitReason) {
        let silent = reason == WaitReason::NoRoom || self.reason == WaitReason::Interference;
        if !silent {
            self.reason = reason;
        }
    }
}
