//! The phase of a job, as reported to callers.

use derive_more::Display;
use jasminebend_placement::{
    HoldReason,
    WaitReason, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The phase of a job, as reported to callers.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// At least one task waits to be started.
    #[display("waiting: {reason}")]
    Waiting {
        /// The reason why the first waiting task is not placed.
        reason: WaitReason,
    },
    /// All unfinished tasks run.
    #[display("running")]
    Running,
    /// The job is held: its waiting tasks are not started.
    #[display("held: {reason}")]
    Held {
        /// The reason why the job is held.
        reason: HoldReason,
    },
    /// The job was cancelled, and some of its tasks still have to stop.
    #[display("cancelling")]
    Cancelling,
    /// The job was cancelled, and none of its tasks runs.
    #[display("cancelled")]
    Cancelled,
    /// All tasks finished.
    #[display("finished")]
    Finished,
}
