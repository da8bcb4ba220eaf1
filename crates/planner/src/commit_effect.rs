//! What may be done once an entry is committed.

use jasminebend_placement::{
    JobId,
    TaskId,
    WorkerKey, //
};
use jasminebend_ports::TaskAttempt;

/// What may be done once an entry is committed, and not before.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CommitEffect {
    /// Nothing.
    Nothing,
    /// The run may be started.
    Start(TaskId),
    /// The worker may forget the run's end.
    Acknowledge(WorkerKey, TaskAttempt),
    /// The job's inbox row is gone.
    Accepted(JobId),
    /// The job's running tasks may be stopped.
    StopAll(JobId),
}
