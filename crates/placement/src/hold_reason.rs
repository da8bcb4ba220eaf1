//! Why a job is held.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a job is held. None of its tasks starts until the job is released or cancelled.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// One of the job's tasks failed on several workers.
    #[display(
        "task {index} failed on {workers} different workers, last with code {code}; mend the job and submit it again"
    )]
    #[serde(rename = "fails_everywhere")]
    FailedOnSeveralWorkers {
        /// The index of the task in the job.
        index: u32,
        /// The number of different workers on which the task failed.
        workers: u32,
        /// The code of the last failure.
        code: i32,
    },
}
