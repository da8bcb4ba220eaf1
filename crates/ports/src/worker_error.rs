//! The reason why a call to a worker failed.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The reason why a call to a worker failed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerError {
    /// No connection to the worker was established, so that the order had no effect.
    #[display("the worker cannot be reached")]
    Unreachable,
    /// The answer was lost, late or malformed; the order may have taken effect.
    #[display("the worker's answer was lost; the order may have taken effect")]
    Unknown,
    /// The worker has adopted a newer epoch than that of the order.
    #[display("the worker has adopted the newer epoch {newer}")]
    StaleEpoch {
        /// The epoch that the worker has adopted.
        newer: OwnerEpoch,
    },
    /// The worker has too little free capacity for the task.
    #[display("the worker has too little free capacity for the task")]
    #[serde(rename = "no_room")]
    InsufficientCapacity,
    /// The order arrived too late, or the worker knows that this run or a later one of the task has
    /// ended.
    #[display("the order is out of date")]
    OutOfDate,
    /// The worker does not know the run.
    #[display("the worker does not know the run")]
    UnknownRun,
    /// The worker could not store a checkpoint; the task continues to run.
    #[display("the worker could not store a checkpoint")]
    CheckpointFailed,
}
