//! Reservation of workers for large steps that have waited too long, and explanations of why steps
//! wait.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PolicyPart,
    RejectionCounts,
    StepKey,
    StepSpec,
    StepWait,
    WorkerKey,
    dispatcher_placement::fits_labels,
    placement_score::{
        PlacementRejection,
        PlacementScore, //
    },
    service_snapshot::FillerProfile,
    worker_state::WorkerState, //
};

/// The divisor of the number of workers that yields the maximum that may be reserved; the others
/// continue to accept small tasks.
const MAX_RESERVED_WORKERS_DIVISOR: usize = 4;

/// The minimum interval between two explanations of why the same step waits.
const WAIT_EXPLANATION_INTERVAL: Duration = Duration::from_millis(2000);

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

impl Dispatcher {
    /// Returns why a step waits that should have started, or `None` if that was explained a short
    /// time ago.
    pub(crate) fn explain_wait(
        &mut self,
        step: StepKey,
        missing_tasks: usize,
        now: Duration,
    ) -> Option<StepWait> {
        let job = self.jobs.get(&step.job)?;
        let spec = self.step_spec(step)?;
        let rule = self.queue_rules.get(&job.queue)?;
        let state = job.step(step.occurrence, step.step)?;
        if state
            .wait_explained_at
            .is_some_and(|explained| now < explained + WAIT_EXPLANATION_INTERVAL)
        {
            return None;
        }
        let mut rejections = RejectionCounts::default();
        let profile = FillerProfile::new(&self.interference, spec.image.as_ref());
        let context = self.placement_context(spec, &profile, now);
        for (index, worker) in self.workers.iter().enumerate() {
            let key = WorkerKey::new(index);
            let at_spread_limit = state.is_at_spread_limit(key, spec);
            let free = worker.free_capacity();
            let size = spec.reserved();
            let reason = match () {
                () if worker.record.pool != rule.pool
                    || !fits_labels(worker, spec)
                    || at_spread_limit =>
                {
                    &mut rejections.unsuitable
                }
                () if !worker.listed
                    || worker.record.draining
                    || worker.in_maintenance
                    || self.closed_domains.contains(&worker.record.domain) =>
                {
                    &mut rejections.leaving
                }
                () if !worker.has_owner_token
                    || worker.unanswered > 0
                    || !worker.clock.is_known() =>
                {
                    &mut rejections.unanswered
                }
                () if !self.is_usable(worker, &rule.pool, now) => &mut rejections.quarantined,
                () if size.cpu_millis > free.cpu_millis => &mut rejections.processors,
                () if !size.fits_in(free) => &mut rejections.memory,
                () if self.reserved_workers.contains(&key) => &mut rejections.reserved,
                () => match PlacementScore::new(worker, context, true) {
                    Err(PlacementRejection::Busy) => &mut rejections.busy,
                    Err(PlacementRejection::Shielded) => &mut rejections.shielded,
                    Err(PlacementRejection::Learning) => &mut rejections.learning,
                    Err(PlacementRejection::Harm) => &mut rejections.interference,
                    Ok(_) => &mut rejections.other,
                },
            };
            *reason += 1;
        }
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.wait_explained_at = Some(now);
        }
        Some(StepWait {
            step,
            missing_tasks,
            rejections,
        })
    }
}

/// Returns whether a task fits on a worker beside the services there.
fn fits_beside_services(worker: &WorkerState, spec: &StepSpec) -> bool {
    let used = worker.service_cpu + spec.reserved().cpu_millis;
    used <= worker.record.capacity.cpu_millis
}
