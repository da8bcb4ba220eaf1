//! The worker's record of a run.

use jasminebend_base::{
    ClassName,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RunCompletion, //
    TaskAttempt,
};

/// The worker's record of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerTask {
    /// The id of the run.
    pub attempt: TaskAttempt,
    /// The class of the task.
    pub class: ClassName,
    /// The resources that the worker reserves for the run.
    pub reserved: ResourceAmount,
    /// The speed of the run, in thousandths of its full speed; 1000 unless it is throttled.
    pub speed_millis: u32,
    /// The end of the run; `None` while it is in progress.
    pub ended: Option<RunCompletion>,
}
