//! A request to a worker over HTTP.

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

/// A request to a worker: the body of `POST /v1/worker`, in JSON. The answer is a
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
        /// The epoch at which the owner holds the shard.
        epoch: OwnerEpoch,
        /// The order to start the task.
        order: TaskOrder,
    },
    /// See [`crate::WorkerPort::throttle`].
    Throttle {
        /// The epoch at which the owner holds the shard.
        epoch: OwnerEpoch,
        /// The id of the run.
        attempt: TaskAttempt,
        /// The speed to which the run is throttled, in thousandths of its full speed.
        speed_millis: u32,
    },
    /// See [`crate::WorkerPort::checkpoint`].
    Checkpoint {
        /// The epoch at which the owner holds the shard.
        epoch: OwnerEpoch,
        /// The id of the run.
        attempt: TaskAttempt,
    },
    /// See [`crate::WorkerPort::stop`].
    Stop {
        /// The epoch at which the owner holds the shard.
        epoch: OwnerEpoch,
        /// The id of the run.
        attempt: TaskAttempt,
    },
}

impl WorkerRequest {
    /// The HTTP path of the requests.
    pub const PATH: &str = "/v1/worker";
}
