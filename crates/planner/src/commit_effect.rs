//! Actions that wait for a journal entry to be committed.

use jasminebend_placement::{
    JobId,
    TaskId,
    WorkerKey, //
};
use jasminebend_ports::TaskAttempt;

/// The action that becomes permitted once a journal entry is committed, and not before.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CommitEffect {
    /// Nothing waits for this entry.
    NoEffect,
    /// The task's current run may be started.
    Start(TaskId),
    /// The worker may be informed that the run's completion is stored, so that it can forget the run.
    Acknowledge(WorkerKey, TaskAttempt),
    /// The job's inbox row is deleted, so that a scan which begins later does not return it.
    Accepted(JobId),
    /// The running tasks of a cancelled job may be stopped.
    StopJob(JobId),
}
