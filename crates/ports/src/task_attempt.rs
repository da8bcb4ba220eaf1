//! The id of one run of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The id of one run (attempt) of a task. It makes orders to a worker idempotent: the worker
/// recognizes a repeated order by it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job:016x}/{index}#{attempt}")]
pub struct TaskAttempt {
    /// The id of the task's job.
    pub job: u64,
    /// The index of the task in its job, counted from 0.
    pub index: u32,
    /// The number of the run among the runs of the task, counted from 1.
    pub attempt: u32,
}
