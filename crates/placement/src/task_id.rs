//! The identity of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobId;

/// The identity of a task: its job, and its place in it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's place in it, from zero.
    pub index: u32,
}
