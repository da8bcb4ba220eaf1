//! Outcome and progress of a job.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task failed in as many runs as its queue allows.
    #[display("failed")]
    Failed,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// Progress of a job as reported to callers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum JobProgress {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// The job has ended with this outcome.
    #[display("{_0}")]
    Ended(JobOutcome),
}
