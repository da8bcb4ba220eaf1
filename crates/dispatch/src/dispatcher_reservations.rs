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
    WorkKind,
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
        let Some(spec) = self.step_spec(step) else {
            return;
        };
        let is_enabled = self.settings.switches.has(PolicyPart::CapacityReservation);
        if !is_enabled || spec.filler || !(spec.long_running || spec.gang) {
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
        let usable: Vec<WorkerKey> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| self.is_usable(self.worker(*key), &pool, now))
            .collect();
        let limit = (usable.len() / MAX_RESERVED_WORKERS_DIVISOR).max(1);
        let reserved = usable
            .iter()
            .filter(|key| self.reserved_workers.contains(*key));
        let left = limit.saturating_sub(reserved.count());
        let mut places = 0;
        let mut candidates: Vec<(u64, WorkerKey)> = Vec::new();
        for key in usable {
            let worker = self.worker(key);
            let is_suitable = fits_labels(worker, spec) && !state.is_at_spread_limit(key, spec);
            let worker_places = if is_suitable {
                places_on(worker, spec)
            } else {
                0
            };
            places += worker_places;
            if worker_places > 0 && !self.reserved_workers.contains(&key) {
                candidates.push((worker.free_capacity().cpu_millis, key));
            }
        }
        // A gang for which short tasks leave too few places starts no sooner for a reservation.
        // CAST: A step has at most 20,000 tasks.
        if spec.gang && places < missing_tasks as u64 {
            return;
        }
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        let chosen = candidates.into_iter().take(missing_tasks.min(left));
        self.reserved_workers.extend(chosen.map(|(_, key)| key));
    }
}

/// Returns how many tasks of a step a worker can hold once its short tasks have ended.
fn places_on(worker: &WorkerState, spec: &StepSpec) -> u64 {
    let size = spec.reserved();
    let capacity = worker.record.capacity;
    let short_cpu = capacity.cpu_millis.saturating_sub(worker.long_running_cpu);
    let by_cpu = short_cpu / size.cpu_millis.max(1);
    let runs = worker.runs.values();
    let long_running_memory: u64 = runs
        .filter(|run| run.kind == WorkKind::LongRunning)
        .map(|run| run.reserved.memory_mib)
        .sum();
    let by_memory =
        capacity.memory_mib.saturating_sub(long_running_memory) / size.memory_mib.max(1);
    let by_spread = spec.max_per_worker.map_or(u64::MAX, u64::from);
    by_cpu.min(by_memory).min(by_spread)
}
