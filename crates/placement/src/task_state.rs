//! The state of a task.

use jasminebend_base::{
    ResourceAmount,
    VmName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The state of a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// The task waits to be placed on a worker.
    #[default]
    Queued,
    /// A run of the task is assigned to this worker.
    Placed {
        /// The worker.
        worker: VmName,
        /// The resources reserved for the run on that worker.
        reserved: ResourceAmount,
    },
    /// The task finished with this result.
    Finished {
        /// The result.
        result: String,
    },
    /// The task was cancelled with its job.
    Cancelled,
}
