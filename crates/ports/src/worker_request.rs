//! A call of a worker over HTTP.

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    EpochAdoption,
    LeaseRenewal,
    TaskAttempt,
    TaskOrder, //
};

/// A call of a worker: the body of `POST /v1/worker`, in JSON. The answer is a
/// [`crate::WorkerAnswer`] with status 200, or a [`crate::WorkerError`] with status 409.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum WorkerRequest {
    /// See [`crate::WorkerPort::adopt`].
    Adopt(EpochAdoption),
    /// See [`crate::WorkerPort::renew`].
    Renew(LeaseRenewal),
    /// See [`crate::WorkerPort::start`].
    Start {
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The order.
        order: TaskOrder,
    },
    /// See [`crate::WorkerPort::throttle`].
    Throttle {
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The run.
        attempt: TaskAttempt,
        /// The share of its speed that the run is left, in thousandths.
        speed_millis: u32,
    },
    /// See [`crate::WorkerPort::checkpoint`].
    Checkpoint {
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The run.
        attempt: TaskAttempt,
    },
    /// See [`crate::WorkerPort::stop`].
    Stop {
        /// The owner's epoch.
        epoch: OwnerEpoch,
        /// The run.
        attempt: TaskAttempt,
    },
}

impl WorkerRequest {
    /// The path that takes the calls.
    pub const PATH: &str = "/v1/worker";
}
