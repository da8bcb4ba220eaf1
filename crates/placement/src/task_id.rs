//! The ID of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobId;

/// The ID of a task: its job, and its index there.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index of the task in the job, from zero.
    pub index: u32,
}
