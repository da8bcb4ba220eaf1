//! Why a transition is invalid.

use derive_more::{
    Display,
    Error, //
};

use crate::{
    JobId,
    TaskId, //
};

/// Why a transition is invalid in the ledger's current state.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The job is not in the ledger.
    #[display("job {job} is not in the journal")]
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// A job with this ID is already in the ledger.
    #[display("job {job} is in the journal twice")]
    DuplicateJob {
        /// The job.
        job: JobId,
    },
    /// The job still has tasks that are neither finished nor cancelled.
    #[display("job {job} is closed while it has open tasks")]
    OpenTasks {
        /// The job.
        job: JobId,
    },
    /// The run is not the one that the task's state allows, or the job has no such task.
    #[display("run {attempt} of task {task} does not match the task's state in the journal")]
    OutOfOrder {
        /// The task.
        task: TaskId,
        /// The number of the run.
        attempt: u32,
    },
}
