//! A worker's answer to a heartbeat.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    TaskUsage,
    WorkerTask, //
};

/// A worker's answer to a heartbeat: what changed, and what was measured.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Differs after each restart of the worker and after each move to another shard.
    pub incarnation: u64,
    /// The number of runs in progress.
    pub running: u32,
    /// The runs that ended and are not acknowledged.
    pub ended: Vec<WorkerTask>,
    /// Late measurements, each reported at most once, and at most as many as the renewal allows.
    pub usage: Vec<TaskUsage>,
}
