//! How room is kept for what has waited for too long.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    StepKey,
    StepSpec,
    WorkerKey,
    dispatcher_plan::fits_labels,
    worker_state::WorkerState, //
};

/// The largest share of the workers whose room is kept, as a divisor: the others go on taking what is small.
const MOST_KEPT: usize = 4;

impl Dispatcher {
    /// Keeps the room of as many workers as tasks of a step are missing, those that will have it soonest, if the step
    /// lasts or is a gang. Small tasks would take every piece that becomes free, and a large one would never find its
    /// own.
    pub(crate) fn keep_room(&mut self, step: StepKey, missing: usize, now: Duration) {
        let most = (self.workers.len() / MOST_KEPT).max(1);
        let left = most.saturating_sub(self.kept.len());
        let Some(spec) = self.step_spec(step) else {
            return;
        };
        if left == 0 || spec.filler || !(spec.lasting || spec.gang) {
            return;
        }
        let Some(rule) = self
            .jobs
            .get(&step.job)
            .and_then(|job| self.rules.get(&job.queue))
        else {
            return;
        };
        let pool = Arc::clone(&rule.pool);
        let mut able: Vec<(u64, WorkerKey)> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| {
                let worker = self.worker(*key);
                !self.kept.contains(key)
                    && self.is_usable(worker, &pool, now)
                    && fits_labels(worker, spec)
                    && could_hold(worker, spec)
            })
            .map(|key| (self.worker(key).free().cpu_millis, key))
            .collect();
        able.sort_unstable_by(|left, right| right.cmp(left));
        let chosen = able.into_iter().take(missing.min(left));
        self.kept.extend(chosen.map(|(_, key)| key));
    }
}

/// Tells whether a worker has room for a task beside what stays there.
fn could_hold(worker: &WorkerState, spec: &StepSpec) -> bool {
    let beside = worker.service_cpu + spec.reserved().cpu_millis;
    beside <= worker.record.capacity.cpu_millis
}
