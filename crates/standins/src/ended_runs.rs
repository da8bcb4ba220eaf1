//! The ended runs of a stand-in worker.

use indexmap::IndexMap;
use jasminebend_ports::{
    RunCompletion,
    TaskAttempt,
    WorkerTask, //
};

type TaskKey = (u64, u32);

/// The ended runs of a stand-in worker.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    /// The ended runs that the owner has not acknowledged yet.
    unacknowledged: IndexMap<TaskAttempt, WorkerTask>,
    /// The last attempt of each task that has ended. A delayed start order for it, or for an earlier attempt, is
    /// refused. It stays after the acknowledgement.
    last_ended: IndexMap<TaskKey, u32>,
}

impl EndedRuns {
    pub(crate) fn tasks(&self) -> impl Iterator<Item = WorkerTask> {
        self.unacknowledged.values().cloned()
    }

    pub(crate) fn event_of(&self, attempt: TaskAttempt) -> Option<&RunCompletion> {
        self.unacknowledged.get(&attempt)?.ended.as_ref()
    }

    /// Returns whether this run of the task, or a later one, has ended.
    pub(crate) fn has_ended(&self, attempt: TaskAttempt) -> bool {
        let last = self.last_ended.get(&task_key(attempt));
        last.is_some_and(|last| attempt.attempt <= *last)
    }

    pub(crate) fn insert(&mut self, task: WorkerTask) {
        self.record_ended(task.attempt);
        self.unacknowledged.insert(task.attempt, task);
    }

    /// Records that a run has ended, whether or not it ever started here.
    pub(crate) fn record_ended(&mut self, attempt: TaskAttempt) {
        let last = self.last_ended.entry(task_key(attempt)).or_default();
        *last = attempt.attempt.max(*last);
    }

    pub(crate) fn acknowledge(&mut self, attempts: &[TaskAttempt]) {
        for attempt in attempts {
            self.unacknowledged.shift_remove(attempt);
        }
    }
}

fn task_key(attempt: TaskAttempt) -> TaskKey {
    (attempt.job, attempt.index)
}
