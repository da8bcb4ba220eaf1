//! Reconciliation of the dispatcher's runs with those that a worker reports.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    EarlierRun,
    JobKey,
    LossCause,
    RunLoss,
    RunNumber,
    RunningTask,
    SurplusCause,
    SurplusRun,
    TaskKey,
    WorkKind,
    WorkerKey,
    WorkerOrder,
    job_state::TaskState,
    run_state::{
        RunPhase,
        RunState, //
    }, //
};

impl Dispatcher {
    /// Removes a run from its worker and its task; `how` tells how it is known to be over. The task becomes pending again
    /// unless it has another run.
    pub(crate) fn release_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        how: EarlierRun,
        now: Duration,
    ) {
        self.worker_mut(key).remove_run(task, run, now);
        self.pending_stops.swap_remove(&(key, task, run));
        let step = task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let over = job.is_over();
        let Some(step_state) = job.step_mut(step.occurrence, step.step) else {
            return;
        };
        let Some(task_state) = step_state.tasks.get_mut(task.index as usize) else {
            return;
        };
        let before = task_state.runs.len();
        task_state.runs.retain(|&held| held != (key, run));
        let was_attached = task_state.runs.len() < before;
        let was_announced = was_attached && task_state.crashes.end_announcement();
        task_state.earlier = how;
        let pending = task_state.is_pending();
        let becomes_pending = pending && !over && step_state.open;
        if was_attached {
            step_state.remove_placed_task(key);
            job.remove_run(now);
        }
        if becomes_pending {
            self.pending_steps.insert(step);
        }
        if was_announced && !over {
            self.commits.record_change(step.job);
        }
    }

    /// Updates a run from a worker's report, and stops it if it is stuck.
    pub(crate) fn update_run(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let id = (running.task, running.run);
        let Some(state) = self.worker_mut(key).runs.get_mut(&id) else {
            self.adopt_run(key, running, now);
            return;
        };
        state.last_listed_at = Some(now);
        let begins = !state.has_begun || state.is_orphaned;
        state.has_begun = true;
        state.is_orphaned = false;
        if matches!(state.phase, RunPhase::Sent) {
            state.phase = RunPhase::Running(now);
        }
        let is_ready = state.kind == WorkKind::LongRunning
            && running.progress_percent >= 100
            && state.percent < 100;
        if running.progress_percent != state.percent {
            state.percent = running.progress_percent;
            state.last_progress_at = now;
        }
        state.metric = running.metric;
        let filler = state.is_filler();
        let placed_at = state.placed_at;
        let goes_on_well =
            state.is_confirmed() && state.last_progress_at >= placed_at + state.stuck_after;
        let is_stuck = state.is_confirmed()
            && state.throttle_percent >= 100
            && state.percent < 100
            && now > state.last_progress_at + state.stuck_after;
        let refutes_crashes = state.may_clear_crashes
            && !state.is_early()
            && (state.kind != WorkKind::LongRunning || state.percent >= 100);
        if refutes_crashes {
            state.may_clear_crashes = false;
            self.clear_early_crashes(running.task);
        }
        if begins {
            self.record_begin(key, running.task);
        }
        if is_ready {
            self.worker_mut(key).health.record_success();
        }
        if goes_on_well {
            self.worker_mut(key).health.end_probation(placed_at);
        }
        let is_starved = filler && self.worker(key).idle_cpu() < 0;
        if let Some(checkpoint) = running.checkpoint {
            self.record_checkpoint(running.task, checkpoint);
        }
        if is_stuck && !is_starved {
            self.worker_mut(key)
                .health
                .record_failure(running.task, now);
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Adopts the runs of a job that workers listed before it was known.
    pub(crate) fn adopt_unknown_runs(&mut self, job: JobKey) {
        if !self.has_unknown_runs {
            return;
        }
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let listed_at = worker.last_answer_at.unwrap_or_default();
            let of_job = |running: &mut RunningTask| running.task.job() == job;
            let runs: Vec<RunningTask> = worker.unknown_runs.extract_if(.., of_job).collect();
            for running in runs {
                self.adopt_run(WorkerKey::new(index), running, listed_at);
            }
        }
    }

    /// Keeps in mind a run whose job is unknown, and stops it unless its job may yet be learned.
    fn handle_unknown_run(&mut self, key: WorkerKey, running: RunningTask) {
        if !self.may_learn_job(running.task.job()) {
            self.pending_orders.push(WorkerOrder::Stop {
                worker: key,
                task: running.task,
                run: running.run,
            });
        }
        self.has_unknown_runs = true;
        self.worker_mut(key).unknown_runs.push(running);
    }

    /// Adopts a run that a former owner started, or stops it if its job is over, its
    /// task is done, or the task has another run and allows no copies.
    fn adopt_run(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let step = running.task.step;
        let requested = self.jobs.get_mut(&step.job).and_then(|job| {
            let over = job.is_over();
            let spec = job.graph.steps.get(usize::from(step.step))?.clone();
            job.started = true;
            job.has_begun = true;
            Some((over, spec))
        });
        let Some((over, spec)) = requested else {
            self.handle_unknown_run(key, running);
            return;
        };
        self.open_occurrence(step.job, step.occurrence);
        self.inherited_starts.swap_remove(&running.task);
        let mut state = RunState::new(running.task, &spec, RunPhase::Running(now), now);
        state.percent = running.progress_percent;
        state.metric = running.metric;
        state.last_listed_at = Some(now);
        state.is_adopted = true;
        // A former owner may have throttled it.
        state.throttle_percent = u32::MAX;
        state.has_begun = true;
        self.worker_mut(key).add_run(running.run, state);
        let mut surplus = over.then_some(SurplusCause::JobOver);
        let mut other = None;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step_state.tasks.get_mut(running.task.index as usize)
        {
            other = task.runs.first().copied();
            let has_other = other.is_some() && !spec.allows_copies;
            surplus = surplus
                .or(task.done.then_some(SurplusCause::Done))
                .or(has_other.then_some(SurplusCause::OtherRun));
            task.runs.push((key, running.run));
            step_state.add_placed_task(key);
            job.add_run();
        }
        if let Some(checkpoint) = running.checkpoint {
            self.record_checkpoint(running.task, checkpoint);
        }
        if let Some(cause) = surplus {
            self.pending_surplus_runs.push(SurplusRun {
                worker: key,
                task: running.task,
                run: running.run,
                cause,
                other,
            });
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Drops the runs that a worker certainly does not have: it confirmed them, or their stop,
    /// before the report was requested at `sent`, and the report does not list them.
    pub(crate) fn drop_missing_runs(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        listed: &[(TaskKey, RunNumber)],
        now: Duration,
    ) {
        let missing: Vec<(TaskKey, RunNumber)> = self
            .worker(key)
            .runs
            .iter()
            .filter(|(id, state)| {
                let known = match state.phase {
                    RunPhase::Running(at) | RunPhase::Stopping(Some(at)) => at <= sent,
                    RunPhase::Sent | RunPhase::Unsure | RunPhase::Stopping(None) => false,
                };
                known && !listed.contains(id)
            })
            .map(|(&id, _)| id)
            .collect();
        let is_orphaned = |id: &&(TaskKey, RunNumber)| self.worker(key).runs[*id].is_orphaned;
        let lost: Vec<(TaskKey, RunNumber)> = missing.iter().filter(is_orphaned).copied().collect();
        if !lost.is_empty() {
            self.record_losses(key, &lost, LossCause::Restarted, now);
        }
        for (task, run) in missing {
            self.note_missing_run(key, task, run);
            let how = self.missing_run(key, task, run);
            self.release_run(key, task, run, how, now);
            if self.is_long_running_and_pending(task) {
                self.mark_unavailable(task, now);
            }
        }
    }

    /// Returns how a run is known to be over that its worker neither lists nor has ended.
    fn missing_run(&self, key: WorkerKey, task: TaskKey, run: RunNumber) -> EarlierRun {
        match self.worker(key).runs.get(&(task, run)) {
            Some(state) if state.is_orphaned => EarlierRun::Lost(LossCause::Restarted),
            Some(state) if state.has_begun => EarlierRun::Lost(LossCause::Missing),
            _ => EarlierRun::NotBegun,
        }
    }

    /// Records for the log a run that has begun and that this incarnation of its worker neither lists nor has ended.
    fn note_missing_run(&mut self, key: WorkerKey, task: TaskKey, run: RunNumber) {
        let worker = self.worker(key);
        let Some(state) = worker.runs.get(&(task, run)) else {
            return;
        };
        let has_begun = state.has_begun || state.is_adopted;
        if !has_begun || state.is_orphaned {
            return;
        }
        let loss = RunLoss {
            task,
            run,
            worker: key,
            cause: LossCause::Missing,
            placed_at: state.placed_at,
            last_listed_at: state.last_listed_at,
            contact_lost_at: worker.contact_lost_at,
            connection_refused: worker.connection_refused,
            listed: worker.listed,
            other_runs: worker.runs.len() - 1,
            is_unfenced: worker.has_unfenced_restart(),
        };
        self.pending_losses.push(loss);
    }

    fn is_long_running_and_pending(&self, task: TaskKey) -> bool {
        let step = task.step;
        let is_long_running = self.step_spec(step).is_some_and(|spec| spec.long_running);
        let job = self.jobs.get(&step.job);
        let state = job.and_then(|job| job.step(step.occurrence, step.step));
        let state = state.and_then(|state| state.tasks.get(task.index as usize));
        is_long_running && state.is_some_and(TaskState::is_pending)
    }

    /// Records a task's latest checkpoint.
    pub(crate) fn record_checkpoint(&mut self, task: TaskKey, checkpoint: Arc<str>) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Counts runs of a worker as over, so that their tasks can start elsewhere.
    pub(crate) fn drop_runs(
        &mut self,
        key: WorkerKey,
        runs: Vec<(TaskKey, RunNumber)>,
        cause: LossCause,
        now: Duration,
    ) {
        self.record_losses(key, &runs, cause, now);
        for (task, run) in runs {
            self.release_run(key, task, run, EarlierRun::Lost(cause), now);
            self.mark_unavailable(task, now);
        }
    }

    /// Records that a task has been without a run since `now`.
    pub(crate) fn mark_unavailable(&mut self, task: TaskKey, now: Duration) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.unavailable_since = Some(now);
        }
    }
}
