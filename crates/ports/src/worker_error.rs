//! Why a worker did not do as ordered.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a worker did not do as ordered.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerError {
    /// The worker was not reached, so that nothing took effect.
    #[display("the worker cannot be reached")]
    Unreachable,
    /// The answer was lost, late or malformed: the order may have taken effect.
    #[display("the worker's answer was lost; the order may have taken effect")]
    Unknown,
    /// The worker follows a newer epoch.
    #[display("the worker follows the newer epoch {newer}")]
    StaleEpoch {
        /// The epoch that it follows.
        newer: OwnerEpoch,
    },
    /// The worker holds too much to take the task.
    #[display("the worker has no room for the task")]
    NoRoom,
    /// The order came too late, or this run or a later one of the task is known to have ended.
    #[display("the order is out of date")]
    OutOfDate,
    /// The worker knows no such run.
    #[display("the worker knows no such run")]
    UnknownRun,
    /// The worker could not keep a checkpoint; the task still runs.
    #[display("the worker could not keep a checkpoint")]
    CheckpointFailed,
}
