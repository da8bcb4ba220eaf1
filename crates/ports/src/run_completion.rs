//! The end of a run, as the worker reports it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::CheckpointId;

/// The end of a run, as the worker reports it. The worker reports it until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunCompletion {
    /// The task finished successfully.
    Finished {
        /// The result of the task.
        result: String,
    },
    /// The task failed by its own fault, not because it was stopped.
    Failed {
        /// The failure code that the worker assigned.
        code: i32,
    },
    /// The worker stored a checkpoint of the task and then stopped it.
    Checkpointed {
        /// The name of the checkpoint.
        checkpoint: CheckpointId,
    },
    /// The worker stopped the task without a checkpoint; its progress since the last one is lost.
    Stopped,
    /// The worker stopped the task because the worker's lease expired.
    Lapsed {
        /// The checkpoint that the worker stored before it stopped the task; `None` if it could
        /// not.
        checkpoint: Option<CheckpointId>,
    },
}
