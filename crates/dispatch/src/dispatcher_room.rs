//! How room is kept for what has waited for too long.

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

/// The largest share of the workers whose room is kept, as a divisor: the others go on taking what is small.
const MOST_KEPT: usize = 4;

/// How often it is noted why a step waits.
const NOTE_EVERY: Duration = Duration::from_millis(2000);

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
    /// Takes note of why a step waits that should have started, every now and then.
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

/// Tells whether a worker has room for a task beside what stays there.
fn could_hold(worker: &WorkerState, spec: &StepSpec) -> bool {
    let beside = worker.service_cpu + spec.reserved().cpu_millis;
    beside <= worker.record.capacity.cpu_millis
}
