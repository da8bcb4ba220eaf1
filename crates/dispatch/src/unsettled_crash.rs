//! Possible crash of a worker that does not answer.

use crate::{
    TaskKey,
    WorkerCrash, //
};

/// Possible crash of a worker that does not answer: it is proven or refuted when the worker answers.
#[derive(Clone, Debug)]
pub(crate) struct UnsettledCrash {
    pub(crate) task: TaskKey,
    pub(crate) crash: WorkerCrash,
    /// Whether the crash is on record for the task.
    pub(crate) is_counted: bool,
}
