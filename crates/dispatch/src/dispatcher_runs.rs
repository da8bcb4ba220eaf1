//! Reconciliation of the dispatcher's runs with those that a worker reports.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    RunNumber,
    RunningTask,
    TaskKey,
    WorkerKey,
    WorkerOrder,
    run_state::{
        RunPhase,
        RunState, //
    }, //
};

/// The time without progress after which a running task counts as stuck. A hundredth of the longest
/// usual task takes a tenth of this.
const STUCK: Duration = Duration::from_millis(1000);

impl Dispatcher {
    /// Removes a run from its worker and its task. The task becomes pending again unless it has
    /// another run.
    pub(crate) fn release(&mut self, key: WorkerKey, task: TaskKey, run: RunNumber, now: Duration) {
        self.worker_mut(key).drop_run(task, run, now);
        self.stops.swap_remove(&(key, task, run));
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
        let left = task_state.runs.len() < before;
        let pending = task_state.is_pending();
        let opens = pending && !over && step_state.open;
        if left {
            step_state.note_left(key);
            job.note_run_over(now);
        }
        if opens {
            self.open.insert(step);
        }
    }

    /// Updates a run from a worker's report, and stops it if it is stuck.
    pub(crate) fn note_running(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let id = (running.task, running.run);
        let Some(state) = self.worker_mut(key).runs.get_mut(&id) else {
            self.adopt(key, running, now);
            return;
        };
        if matches!(state.phase, RunPhase::Sent) {
            state.phase = RunPhase::Running(now);
        }
        let at_work = state.target.is_some() && running.percent >= 100 && state.percent < 100;
        if running.percent != state.percent {
            state.percent = running.percent;
            state.moved = now;
        }
        state.figure = running.figure;
        let filler = state.is_filler();
        let stuck = state.is_confirmed()
            && state.pace >= 100
            && state.percent < 100
            && now > state.moved + STUCK;
        if at_work {
            self.worker_mut(key).health.note_done();
        }
        let starved = filler && self.worker(key).idle_cpu() < 0;
        if let Some(checkpoint) = running.checkpoint {
            self.note_checkpoint(running.task, checkpoint);
        }
        if stuck && !starved {
            self.worker_mut(key).health.note_failure(running.task, now);
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Adopts a run that a former owner started, or stops it if its job is unknown or over, its
    /// task is done, or the task has another run and allows no copies.
    fn adopt(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let step = running.task.step;
        let wanted = self.jobs.get_mut(&step.job).and_then(|job| {
            let over = job.is_over();
            let spec = job.graph.steps.get(usize::from(step.step))?.clone();
            job.started = true;
            Some((over, spec))
        });
        let Some((over, spec)) = wanted else {
            self.decided.push(WorkerOrder::Stop {
                worker: key,
                task: running.task,
                run: running.run,
            });
            return;
        };
        self.open_occurrence(step.job, step.occurrence);
        let mut state = RunState::new(running.task, &spec, RunPhase::Running(now), now);
        state.percent = running.percent;
        state.figure = running.figure;
        self.worker_mut(key).add(running.run, state);
        let mut surplus = over;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step_state.tasks.get_mut(running.task.index as usize)
        {
            surplus |= task.done || (!task.runs.is_empty() && !spec.copies);
            task.runs.push((key, running.run));
            step_state.note_placed(key);
            job.note_run();
        }
        if let Some(checkpoint) = running.checkpoint {
            self.note_checkpoint(running.task, checkpoint);
        }
        if surplus {
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Drops the runs that a worker certainly does not have: it confirmed them, or their stop,
    /// before the report was requested at `sent`, and the report does not list them.
    pub(crate) fn note_missing(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        listed: &[(TaskKey, RunNumber)],
        now: Duration,
    ) {
        let gone: Vec<(TaskKey, RunNumber)> = self
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
        for (task, run) in gone {
            self.release(key, task, run, now);
        }
    }

    /// Records a task's latest checkpoint.
    pub(crate) fn note_checkpoint(&mut self, task: TaskKey, checkpoint: Arc<str>) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Counts all runs of a worker as over, so that their tasks can start elsewhere.
    pub(crate) fn lose_runs(&mut self, key: WorkerKey, now: Duration) {
        let runs: Vec<(TaskKey, RunNumber)> = self.worker(key).runs.keys().copied().collect();
        for (task, run) in runs {
            self.release(key, task, run, now);
            self.note_away(task, now);
        }
    }

    /// Records that a task has been without a run since `now`.
    pub(crate) fn note_away(&mut self, task: TaskKey, now: Duration) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.away_since = Some(now);
        }
    }
}
