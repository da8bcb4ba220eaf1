//! A worker's answer over HTTP.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CheckpointId,
    WorkerInventory,
    WorkerReport, //
};

/// A worker's answer to a [`crate::WorkerRequest`] that it carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAnswer {
    /// Of `adopt`.
    Inventory(WorkerInventory),
    /// Of `renew`.
    Report(WorkerReport),
    /// Of `checkpoint`.
    Checkpoint(CheckpointId),
    /// Of `start`, `throttle` and `stop`.
    Done,
}
