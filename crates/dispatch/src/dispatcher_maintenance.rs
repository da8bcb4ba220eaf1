//! Draining of a worker before maintenance of its VM.

use std::time::Duration;

use crate::{
    Dispatcher,
    RunNumber,
    StepKey,
    TaskKey,
    WorkerKey,
    job_state::TaskState, //
};

impl Dispatcher {
    /// Starts nothing more on a worker and stops the runs that can move elsewhere; returns whether
    /// the worker is empty. Long-running tasks are stopped only as far as their step tolerates
    /// missing tasks, others only if they write checkpoints; the rest end by themselves.
    pub fn prepare_maintenance(&mut self, id: &str, now: Duration) -> bool {
        let Some(key) = self.worker_key(id) else {
            return true;
        };
        self.worker_mut(key).in_maintenance = true;
        let runs: Vec<(TaskKey, RunNumber)> = self.worker(key).runs.keys().copied().collect();
        for &(task, run) in &runs {
            if self.can_move_run(task, key, run, now) {
                self.stop_run(key, task, run);
            }
        }
        runs.is_empty()
    }

    /// Returns whether all runs on a worker may be stopped or end by themselves. A long-running task
    /// of a step that tolerates no missing tasks does neither.
    pub fn can_drain(&self, id: &str) -> bool {
        let Some(key) = self.worker_key(id) else {
            return true;
        };
        let mut runs = self.worker(key).runs.keys();
        runs.all(|(task, _)| {
            self.step_spec(task.step)
                .is_none_or(|spec| !spec.long_running || spec.max_unavailable > 0)
        })
    }

    /// Returns whether a worker has answered a call that was sent after `since`.
    pub fn has_answered_since(&self, id: &str, since: Duration) -> bool {
        self.worker_key(id).is_some_and(|key| {
            let answered = self.worker(key).last_answered_call_at;
            answered.is_some_and(|sent| sent > since)
        })
    }

    /// Lets tasks start again on a worker that needs no maintenance any more.
    pub fn cancel_maintenance(&mut self, id: &str) {
        if let Some(key) = self.worker_key(id) {
            self.worker_mut(key).in_maintenance = false;
        }
    }

    /// Returns whether a run may be stopped now so that its task moves to another worker.
    fn can_move_run(
        &self,
        task: TaskKey,
        worker: WorkerKey,
        run: RunNumber,
        now: Duration,
    ) -> bool {
        if self.pending_stops.contains(&(worker, task, run)) {
            return false;
        }
        let Some(spec) = self.step_spec(task.step) else {
            return true;
        };
        match spec.long_running {
            true => self.unavailable_task_count(task.step, now) < spec.max_unavailable,
            false => spec.checkpoints,
        }
    }

    /// Returns the number of a step's tasks that are not running, are being stopped, or were absent
    /// within the notice period.
    fn unavailable_task_count(&self, step: StepKey, now: Duration) -> u32 {
        let Some(state) = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.occurrence, step.step))
        else {
            return 0;
        };
        let unavailable = (0..).zip(&state.tasks).filter(|(index, task)| {
            !self.is_fully_running(step.task(*index), task)
                || task
                    .unavailable_since
                    .is_some_and(|since| now < since + self.settings.unavailability_notice)
        });
        u32::try_from(unavailable.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a task has a confirmed run at 100 percent that is not to be stopped.
    fn is_fully_running(&self, key: TaskKey, task: &TaskState) -> bool {
        task.runs.iter().any(|&(worker, run)| {
            let state = self.worker(worker).runs.get(&(key, run));
            let stopped = self.pending_stops.contains(&(worker, key, run));
            !stopped && state.is_some_and(|state| state.is_confirmed() && state.percent >= 100)
        })
    }
}
