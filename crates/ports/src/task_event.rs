//! The end of a run, as its worker tells it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::CheckpointId;

/// The end of a run, as its worker tells it. The worker keeps it until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// The task finished; this is its result.
    Finished {
        /// The result.
        result: String,
    },
    /// The task failed of itself.
    Failed {
        /// The worker's code of the failure.
        code: i32,
    },
    /// The task was stopped after its state was kept under this name.
    Checkpointed {
        /// The checkpoint.
        checkpoint: CheckpointId,
    },
    /// The task was stopped and its state since the last checkpoint dropped.
    Stopped,
    /// The worker's lease lapsed, and the worker stopped the task.
    Lapsed {
        /// The checkpoint that the worker kept on the way, if it could.
        checkpoint: Option<CheckpointId>,
    },
}
