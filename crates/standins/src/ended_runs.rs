//! The ended runs that a stand-in worker knows.

use indexmap::IndexMap;
use jasminebend_ports::{
    TaskAttempt,
    TaskEvent,
    WorkerTask, //
};

type TaskKey = (u64, u32);

/// The ended runs that a stand-in worker knows.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    unacknowledged: IndexMap<TaskAttempt, WorkerTask>,
    /// The last attempt of each task that is known to have ended: a start of it, or of an earlier
    /// one, that comes late is refused. It outlives the acknowledgement.
    last: IndexMap<TaskKey, u32>,
}

impl EndedRuns {
    pub(crate) fn tasks(&self) -> impl Iterator<Item = WorkerTask> {
        self.unacknowledged.values().cloned()
    }

    pub(crate) fn end_of(&self, attempt: TaskAttempt) -> Option<&TaskEvent> {
        self.unacknowledged.get(&attempt)?.ended.as_ref()
    }

    /// Tells whether this run of the task, or a later one, is known to have ended.
    pub(crate) fn rules_out(&self, attempt: TaskAttempt) -> bool {
        let last = self.last.get(&task_key(attempt));
        last.is_some_and(|last| attempt.attempt <= *last)
    }

    pub(crate) fn insert(&mut self, task: WorkerTask) {
        self.mark(task.attempt);
        self.unacknowledged.insert(task.attempt, task);
    }

    /// Marks a run as ended, whether it ever ran here or not.
    pub(crate) fn mark(&mut self, attempt: TaskAttempt) {
        let last = self.last.entry(task_key(attempt)).or_default();
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
