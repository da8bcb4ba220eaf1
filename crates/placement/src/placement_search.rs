//! The state of a search for a task's worker.

use crate::{
    WaitReason,
    WorkerKey, //
};

/// The state of a search for a task's worker: the best candidate so far, and why others were
/// rejected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementSearch {
    /// The number of the job's tasks in the failure domain that is being searched.
    pub(crate) job_tasks_in_domain: u32,
    /// The number of candidates that were scored.
    pub(crate) scored: usize,
    /// The best candidate, with the number of the job's tasks in its failure domain and its score.
    pub(crate) best: Option<(u32, f64, WorkerKey)>,
    /// Why the task waits if no candidate is found.
    pub(crate) reason: WaitReason,
}

impl PlacementSearch {
    pub(crate) fn new() -> Self {
        Self {
            job_tasks_in_domain: 0,
            scored: 0,
            best: None,
            reason: WaitReason::NoFreeCapacity,
        }
    }

    /// Compares a candidate with the best one. Fewer tasks of the job in the failure domain are
    /// better, then a lower score.
    pub(crate) fn offer(&mut self, score: f64, key: WorkerKey) {
        self.scored += 1;
        let rank = (self.job_tasks_in_domain, score);
        if self.best.is_none_or(|best| rank < (best.0, best.1)) {
            self.best = Some((self.job_tasks_in_domain, score, key));
        }
    }

    /// Records why a candidate was rejected. Interference outranks every other reason, and every
    /// reason outranks a lack of capacity.
    pub(crate) fn record_reason(&mut self, reason: WaitReason) {
        let keeps_reason =
            reason == WaitReason::NoFreeCapacity || self.reason == WaitReason::Interference;
        if !keeps_reason {
            self.reason = reason;
        }
    }
}
