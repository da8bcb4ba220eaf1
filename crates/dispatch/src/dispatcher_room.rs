//! Reservation of workers for large steps that have waited too long, and explanations of why steps
//! wait.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PolicyPart,
    StepKey,
    StepSpec,
    WaitNote,
    WaitReasons,
    WorkerKey,
    dispatcher_plan::fits_labels,
    place_score::{
        PlaceRefusal,
        PlaceScore, //
    },
    service_view::FillerProfile,
    worker_state::WorkerState, //
};

/// The divisor of the number of workers that yields the maximum that may be reserved; the others
/// continue to accept small tasks.
const MOST_KEPT: usize = 4;

/// The minimum interval between two explanations of why the same step waits.
const NOTE_EVERY: Duration = Duration::from_millis(2000);

impl Dispatcher {
    /// Reserves as many workers as tasks of the step are missing, preferring those with the most
    /// free CPU, if the step is long-running or a gang. Otherwise small tasks would take each piece
    /// of capacity as it becomes free, and a large task would never fit.
    pub(crate) fn keep_room(&mut self, step: StepKey, missing: usize, now: Duration) {
        let most = (self.workers.len() / MOST_KEPT).max(1);
        let left = most.saturating_sub(self.kept.len());
        let Some(spec) = self.step_spec(step) else {
            return;
        };
        let keeps = self.settings.switches.has(PolicyPart::RoomKept);
        if !keeps || left == 0 || spec.filler || !(spec.lasting || spec.gang) {
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
        let Some(state) = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.occurrence, step.step))
        else {
            return;
        };
        let mut able: Vec<(u64, WorkerKey)> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| {
                let worker = self.worker(*key);
                !self.kept.contains(key)
                    && self.is_usable(worker, &pool, now)
                    && fits_labels(worker, spec)
                    && !state.is_crowded(*key, spec)
                    && could_hold(worker, spec)
            })
            .map(|key| (self.worker(key).free().cpu_millis, key))
            .collect();
        able.sort_unstable_by(|left, right| right.cmp(left));
        let chosen = able.into_iter().take(missing.min(left));
        self.kept.extend(chosen.map(|(_, key)| key));
    }
}

impl Dispatcher {
    /// Returns why a step waits that should have started, or `None` if that was explained a short
    /// time ago.
    pub(crate) fn note_wait(
        &mut self,
        step: StepKey,
        missing: usize,
        now: Duration,
    ) -> Option<WaitNote> {
        let job = self.jobs.get(&step.job)?;
        let spec = self.step_spec(step)?;
        let rule = self.rules.get(&job.queue)?;
        let state = job.step(step.occurrence, step.step)?;
        if state
            .wait_noted
            .is_some_and(|noted| now < noted + NOTE_EVERY)
        {
            return None;
        }
        let mut reasons = WaitReasons::default();
        let profile = FillerProfile::new(&self.harm, spec.image.as_ref());
        let seeker = self.seeker(spec, &profile, now);
        for (place, worker) in self.workers.iter().enumerate() {
            let key = WorkerKey::new(place);
            let crowded = state.is_crowded(key, spec);
            let free = worker.free();
            let size = spec.reserved();
            let reason = match () {
                () if worker.record.pool != rule.pool || !fits_labels(worker, spec) || crowded => {
                    &mut reasons.unfit
                }
                () if !worker.listed
                    || worker.record.draining
                    || worker.upkeep
                    || self.closed.contains(&worker.record.domain) =>
                {
                    &mut reasons.leaving
                }
                () if !worker.fenced || worker.unanswered > 0 || !worker.clock.is_known() => {
                    &mut reasons.silent
                }
                () if !self.is_usable(worker, &rule.pool, now) => &mut reasons.set_aside,
                () if size.cpu_millis > free.cpu_millis => &mut reasons.processors,
                () if !size.fits_in(free) => &mut reasons.memory,
                () if self.kept.contains(&key) => &mut reasons.kept,
                () => match PlaceScore::new(worker, seeker, true) {
                    Err(PlaceRefusal::Busy) => &mut reasons.busy,
                    Err(PlaceRefusal::Shielded) => &mut reasons.shielded,
                    Err(PlaceRefusal::Learning) => &mut reasons.learning,
                    Err(PlaceRefusal::Harm) => &mut reasons.harm,
                    Ok(_) => &mut reasons.other,
                },
            };
            *reason += 1;
        }
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.wait_noted = Some(now);
        }
        Some(WaitNote {
            step,
            missing,
            reasons,
        })
    }
}

/// Returns whether a task fits on a worker beside the services there.
fn could_hold(worker: &WorkerState, spec: &StepSpec) -> bool {
    let beside = worker.service_cpu + spec.reserved().cpu_millis;
    beside <= worker.record.capacity.cpu_millis
}
