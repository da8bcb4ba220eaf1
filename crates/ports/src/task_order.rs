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
    /// The run that is started.
    pub attempt: TaskAttempt,
    /// The task's class.
    pub class: ClassName,
    /// Whether it serves requests or is batch work.
    pub kind: ClassKind,
    /// What the worker sets aside for it.
    pub reserved: ResourceAmount,
    /// What it runs; the worker's own business.
    pub payload: String,
    /// Where it resumes from; `None` starts it from the beginning.
    pub checkpoint: Option<CheckpointId>,
    /// The incarnation of the worker that it is meant for. A worker that restarted meanwhile refuses
    /// it: it has forgotten the epoch that it followed and the runs that ended, by which it would
    /// know that the order comes late.
    pub incarnation: Option<u64>,
    /// How long the order may wait on its way: a worker that gets it later than this after the
    /// last renewal it answered refuses it.
    pub valid_for: Duration,
}
