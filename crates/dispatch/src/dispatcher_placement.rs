//! Placement of tasks on workers.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PolicyPart,
    RunNumber,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerKey,
    crash_history::CrashHistory,
    dispatcher_advice::MIN_TICKET_VALIDITY,
    placement_score::{
        PlacementContext,
        PlacementScore, //
    },
    run_state::{
        RunPhase,
        RunState, //
    },
    service_snapshot::{
        FillerProfile,
        ServiceSnapshot, //
    },
    unplaceable_demands::TaskDemand,
    worker_state::{
        StartMarks,
        WorkerState, //
    }, //
};

/// The parameters by which one plan searches workers for the tasks of a step.
pub(crate) struct PlacementSearch {
    pub(crate) demand: TaskDemand,
    pub(crate) profile: FillerProfile,
    /// Whether the step's job has had no run for too long and accepts the least harmful worker.
    pub(crate) is_starving: bool,
    /// Whether members of one gang may start beside a suspected one of them: too few workers were
    /// found to keep these apart.
    pub(crate) shares_isolation: bool,
    /// The last plan in which no worker had capacity for the demand, if that result is still valid;
    /// workers unchanged since are skipped.
    pub(crate) last_failed_plan: Option<u64>,
}

/// A run that is placed and not ordered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) task: TaskKey,
    pub(crate) worker: WorkerKey,
    pub(crate) run: RunNumber,
    /// What earlier starts have left on the worker.
    former_marks: StartMarks,
}

impl Dispatcher {
    /// Reserves a run's capacity on its worker and attaches the run to its task.
    pub(crate) fn place_run(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: RunNumber,
        spec: &StepSpec,
        now: Duration,
    ) -> Placement {
        let rack = self.worker(worker).record.rack().cloned();
        let mut state = RunState::new(task, spec, RunPhase::Sent, now);
        let crashes = self.crash_history(task);
        state.may_clear_crashes = crashes.is_some_and(|crashes| !crashes.is_empty());
        let is_suspect = crashes.is_some_and(CrashHistory::is_suspect);
        let held = self.worker_mut(worker);
        let former_marks = held.start_marks();
        held.add_run(run, state);
        if is_suspect {
            held.isolate(task, now);
        }
        self.workers[worker.index()].service_snapshot =
            ServiceSnapshot::new(self.worker(worker), &self.interference, now);
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
        {
            step_state.add_placed_task(worker);
            if step_state.first_rack.is_none() {
                step_state.first_rack = rack;
            }
            if let Some(state) = step_state.tasks.get_mut(task.index as usize) {
                state.runs.push((worker, run));
                job.add_run();
            }
        }
        Placement {
            task,
            worker,
            run,
            former_marks,
        }
    }

    /// Undoes a placement. Several on one worker must be undone in reverse order.
    pub(crate) fn undo_placement(&mut self, placement: &Placement, now: Duration) {
        let Placement {
            task, worker, run, ..
        } = *placement;
        let held = self.worker_mut(worker);
        held.remove_run(task, run, now);
        held.restore_start_marks(placement.former_marks);
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
        {
            step_state.remove_placed_task(worker);
            step_state.first_rack = None;
            if let Some(state) = step_state.tasks.get_mut(task.index as usize) {
                state.runs.retain(|&held| held != (worker, run));
                job.undo_run();
            }
        }
    }

    /// Returns the worker with the best score for a task, or `None` if no worker qualifies.
    pub(crate) fn find_worker(
        &self,
        task: TaskKey,
        spec: &StepSpec,
        search: &PlacementSearch,
        now: Duration,
    ) -> Option<WorkerKey> {
        let step = task.step;
        let demand = &search.demand;
        let state = self.jobs.get(&step.job)?.step(step.occurrence, step.step)?;
        let task_state = state.tasks.get(task.index as usize)?;
        let failed_on = task_state.failed_on;
        let crashes = &task_state.crashes;
        let needs_isolation = crashes.needs_isolation(now);
        if crashes.is_suspect() && self.is_turn_of_other(step, now) {
            return None;
        }
        let shares_isolation = match spec.gang {
            true => search.shares_isolation,
            false => spec.long_running && crashes.is_suspect() && !needs_isolation,
        };
        let announced = crashes
            .announcement()
            .map(|announcement| &announcement.worker);
        let context = PlacementContext {
            step_rack: state.first_rack.as_ref(),
            is_starving: search.is_starving,
            is_suspect: crashes.is_suspect(),
            prefers_isolation: !crashes.is_empty(),
            ..self.placement_context(spec, &search.profile, now)
        };
        let mut best: Option<(PlacementScore, WorkerKey)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if search
                .last_failed_plan
                .is_some_and(|plan| worker.changed_in_plan < plan)
            {
                continue;
            }
            let fits = demand.reserved.fits_in(worker.free_capacity());
            if !fits || !self.is_available(worker, &demand.pool) {
                continue;
            }
            if self.is_resting(worker, spec.gang.then_some(step), now) {
                continue;
            }
            let key = WorkerKey::new(index);
            if !spec.filler && self.reserved_workers.contains(&key) {
                continue;
            }
            if !fits_labels(worker, spec) {
                continue;
            }
            if state.is_at_spread_limit(key, spec) {
                continue;
            }
            let is_kept_free = worker
                .isolated_suspect(task, now)
                .is_some_and(|suspect| !shares_isolation || suspect.step != task.step);
            if crashes.is_suspect() && worker.owes_answer(now) {
                continue;
            }
            if is_kept_free || (needs_isolation && !worker.can_isolate(now)) {
                continue;
            }
            if demand.needs_ticket && !has_valid_ticket(state.tickets.get(&key), now) {
                continue;
            }
            let trusted = failed_on != Some(key) && !worker.health.failed_recently(now);
            let score = PlacementScore::new(worker, context, trusted);
            let Ok(score) = score else {
                continue;
            };
            if announced == Some(&worker.record.id) {
                return Some(key);
            }
            if best
                .as_ref()
                .is_none_or(|(best_score, _)| score.cmp(best_score) == Ordering::Greater)
            {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the request by which workers are scored for a step.
    pub(crate) fn placement_context<'a>(
        &'a self,
        spec: &'a StepSpec,
        profile: &'a FillerProfile,
        now: Duration,
    ) -> PlacementContext<'a> {
        PlacementContext {
            spec,
            step_rack: None,
            interference: &self.interference,
            profile,
            is_starving: false,
            is_suspect: false,
            prefers_isolation: false,
            switches: self.settings.switches,
            now,
        }
    }

    /// Returns whether tasks of a pool may be started on a worker.
    pub(crate) fn is_usable(&self, worker: &WorkerState, pool: &Arc<str>, now: Duration) -> bool {
        self.is_available(worker, pool) && !self.is_resting(worker, None, now)
    }

    /// Returns whether a worker that was quarantined may take no task now: the quarantine lasts, or
    /// another task probes the worker. The members of one gang probe it together.
    fn is_resting(&self, worker: &WorkerState, gang: Option<StepKey>, now: Duration) -> bool {
        // Runs placed before the quarantine do not count as its probe: a service's run would never
        // end.
        let is_probed = worker.health.probation_since().is_some_and(|since| {
            let mut runs = worker.runs.values();
            runs.any(|run| run.placed_at >= since && gang != Some(run.task.step))
        });
        self.settings.switches.has(PolicyPart::WorkerQuarantine)
            && (worker.health.is_quarantined(now) || is_probed)
    }

    /// Returns whether a worker of a pool is listed, answers this owner and is to stay.
    fn is_available(&self, worker: &WorkerState, pool: &Arc<str>) -> bool {
        worker.listed
            && self.is_recorded(worker)
            && worker.has_owner_token
            && !self.has_spent_tokens(worker)
            && worker.unanswered == 0
            && worker.unknown_runs.is_empty()
            && worker.clock.is_known()
            && !worker.record.draining
            && !worker.in_maintenance
            && worker.record.pool == *pool
            && !self.closed_domains.contains(&worker.record.domain)
    }
}

/// Returns whether a ticket is still valid for long enough to start a run with it.
pub(crate) fn has_valid_ticket(ticket: Option<&(Arc<str>, Duration)>, now: Duration) -> bool {
    ticket.is_some_and(|(_, until)| now + MIN_TICKET_VALIDITY < *until)
}

/// Returns whether a worker has the label that a step requires.
pub(crate) fn fits_labels(worker: &WorkerState, spec: &StepSpec) -> bool {
    spec.label
        .as_ref()
        .is_none_or(|label| worker.record.labels.contains(label))
}
