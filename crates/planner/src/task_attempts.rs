//! Converts between the planner's task identifiers and the attempts that workers report.

use jasminebend_placement::{
    JobId,
    TaskId, //
};
use jasminebend_ports::TaskAttempt;

/// Returns the identifier of a run that workers use.
pub(crate) fn attempt_of(task: TaskId, attempt: u32) -> TaskAttempt {
    TaskAttempt {
        job: task.job.0,
        index: task.index,
        attempt,
    }
}

/// Returns the task of a run that a worker reports.
pub(crate) fn task_of(run: TaskAttempt) -> TaskId {
    TaskId {
        job: JobId(run.job),
        index: run.index,
    }
}
