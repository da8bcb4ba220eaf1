//! Why a transition does not follow.

use derive_more::{
    Display,
    Error, //
};

use crate::{
    JobId,
    TaskId, //
};

/// Why a transition does not follow from the ledger's state.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The job is not known.
    #[display("job {job} is not in the journal")]
    UnknownJob {
        /// The job.
        job: JobId,
    },
    /// The job is known already.
    #[display("job {job} is in the journal twice")]
    DuplicateJob {
        /// The job.
        job: JobId,
    },
    /// The job still has something to do.
    #[display("job {job} is closed before its end")]
    OpenTasks {
        /// The job.
        job: JobId,
    },
    /// The run does not follow the task's earlier runs.
    #[display("run {attempt} of task {task} does not follow from the journal")]
    OutOfOrder {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: u32,
    },
}
