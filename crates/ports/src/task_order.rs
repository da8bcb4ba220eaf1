//! The order to start a task.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CheckpointId,
    TaskAttempt, //
};

/// The order to start a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskOrder {
    /// The id of the run.
    pub attempt: TaskAttempt,
    /// The class of the task.
    pub class: ClassName,
    /// Whether the task serves requests or is a batch task.
    pub kind: ClassKind,
    /// The resources that the worker reserves for the task.
    pub reserved: ResourceAmount,
    /// What the task runs; opaque to the daemons and interpreted by the worker.
    pub payload: String,
    /// The checkpoint from which the task resumes; `None` starts it from the beginning.
    pub checkpoint: Option<CheckpointId>,
    /// The incarnation of the worker for which the order is meant. A worker that has restarted
    /// since rejects the order: it has lost the epoch that it had adopted and the record of ended
    /// runs, and could not otherwise detect that the order is late.
    pub incarnation: Option<u64>,
    /// How long the order is valid: a worker rejects it if it arrives later than this after the
    /// last lease renewal that the worker answered.
    pub valid_for: Duration,
}
