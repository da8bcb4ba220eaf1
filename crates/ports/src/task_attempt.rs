//! The identity of one run of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The identity of one run of a task. Every order to a worker is idempotent by it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job:016x}/{index}#{attempt}")]
pub struct TaskAttempt {
    /// The job that the task belongs to.
    pub job: u64,
    /// The task's place in its job.
    pub index: u32,
    /// Counts the task's runs from one.
    pub attempt: u32,
}
