//! The report by which a worker answers a lease renewal.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    TaskUsage,
    WorkerTask, //
};

/// The report by which a worker answers a lease renewal: the ended runs and the measurements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The incarnation of the worker, which changes with each restart and with each move to another
    /// shard.
    pub incarnation: u64,
    /// The number of runs in progress.
    pub running: u32,
    /// The ended runs that are not yet acknowledged.
    pub ended: Vec<WorkerTask>,
    /// Measurements of runs, some time old. Each is reported at most once, and at most as many as
    /// [`crate::LeaseRenewal::usage_limit`] allows.
    pub usage: Vec<TaskUsage>,
}
