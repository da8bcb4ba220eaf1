//! Where a task stands.

use jasminebend_base::{
    ResourceAmount,
    VmName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Where a task stands.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// It waits for a place.
    #[default]
    Queued,
    /// Its current run is this worker's.
    Placed {
        /// The worker.
        worker: VmName,
        /// What it takes there.
        reserved: ResourceAmount,
    },
    /// It finished with this result.
    Finished {
        /// The result.
        result: String,
    },
    /// It was given up.
    Cancelled,
}
