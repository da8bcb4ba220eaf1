//! The answer of a worker over HTTP.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CheckpointId,
    WorkerInventory,
    WorkerReport, //
};

/// The answer of a worker to a [`crate::WorkerRequest`] that it executed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAnswer {
    /// The answer to [`crate::WorkerRequest::Adopt`]: all runs that the worker knows.
    Inventory(WorkerInventory),
    /// The answer to [`crate::WorkerRequest::Renew`]: ended runs and measurements.
    Report(WorkerReport),
    /// The answer to [`crate::WorkerRequest::Checkpoint`]: the name of the checkpoint.
    Checkpoint(CheckpointId),
    /// The answer to [`crate::WorkerRequest::Start`], [`crate::WorkerRequest::Throttle`] and
    /// [`crate::WorkerRequest::Stop`], which return nothing.
    Done,
}
