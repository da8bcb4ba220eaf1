//! Reservation of workers for large steps that have waited too long.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PolicyPart,
    StepKey,
    StepSpec,
    WorkerKey,
    dispatcher_placement::fits_labels,
    worker_state::WorkerState, //
};

/// The divisor of the number of workers that yields the maximum that may be reserved; the others
/// continue to accept small tasks.
const MAX_RESERVED_WORKERS_DIVISOR: usize = 4;

impl Dispatcher {
    /// Reserves as many workers as tasks of the step are missing, if the step is long-running or a
    /// gang. Without a reservation small tasks would take each piece of capacity as it becomes
    /// free, and a large task would never fit. The workers with the most free CPU are preferred:
    /// they should be the first to have enough.
    pub(crate) fn reserve_workers(&mut self, step: StepKey, missing_tasks: usize, now: Duration) {
        let limit = (self.workers.len() / MAX_RESERVED_WORKERS_DIVISOR).max(1);
        let left = limit.saturating_sub(self.reserved_workers.len());
        let Some(spec) = self.step_spec(step) else {
            return;
        };
        let is_enabled = self.settings.switches.has(PolicyPart::CapacityReservation);
        if !is_enabled || left == 0 || spec.filler || !(spec.long_running || spec.gang) {
            return;
        }
        let Some(rule) = self
            .jobs
            .get(&step.job)
            .and_then(|job| self.queue_rules.get(&job.queue))
        else {
            return;
        };
        let pool = Arc::clone(&rule.pool);
        let Some(state) = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.occurrence, step.step))
        else {
            return;
        };
        let mut candidates: Vec<(u64, WorkerKey)> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| {
                let worker = self.worker(*key);
                !self.reserved_workers.contains(key)
                    && self.is_usable(worker, &pool, now)
                    && fits_labels(worker, spec)
                    && !state.is_at_spread_limit(*key, spec)
                    && fits_beside_services(worker, spec)
            })
            .map(|key| (self.worker(key).free_capacity().cpu_millis, key))
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        let chosen = candidates.into_iter().take(missing_tasks.min(left));
        self.reserved_workers.extend(chosen.map(|(_, key)| key));
    }
}

/// Returns whether a task fits on a worker beside the services there.
fn fits_beside_services(worker: &WorkerState, spec: &StepSpec) -> bool {
    let used = worker.service_cpu + spec.reserved().cpu_millis;
    used <= worker.record.capacity.cpu_millis
}
