//! Why a job is held.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a job is held: nothing of it starts until it is released or cancelled.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// One of its tasks failed on several workers.
    #[display(
        "task {index} failed on {workers} different workers, last with code {code}; mend the job and submit it again"
    )]
    FailsEverywhere {
        /// The task.
        index: u32,
        /// The number of workers.
        workers: u32,
        /// The code of the last failure.
        code: i32,
    },
}
