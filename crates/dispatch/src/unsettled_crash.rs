//! Possible crash of a worker that does not answer.

use std::time::Duration;

use crate::{
    TaskKey,
    WorkerCrash, //
};

/// Possible crash of a worker that does not answer: it is proven or refuted when the worker answers, or by the registry.
#[derive(Clone, Debug)]
pub(crate) struct UnsettledCrash {
    pub(crate) task: TaskKey,
    pub(crate) crash: WorkerCrash,
    /// When the run was certainly over: a worker that was up after that did not crash under it.
    pub(crate) over_at: Duration,
    /// Whether the crash is on record for the task.
    pub(crate) is_counted: bool,
}
