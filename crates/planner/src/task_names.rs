//! The workers' names of runs.

use jasminebend_placement::{
    JobId,
    TaskId, //
};
use jasminebend_ports::TaskAttempt;

/// Returns a worker's name of a run.
pub(crate) fn attempt_of(task: TaskId, attempt: u32) -> TaskAttempt {
    TaskAttempt {
        job: task.job.0,
        index: task.index,
        attempt,
    }
}

/// Returns the task of a run that a worker names.
pub(crate) fn task_of(run: TaskAttempt) -> TaskId {
    TaskId {
        job: JobId(run.job),
        index: run.index,
    }
}
