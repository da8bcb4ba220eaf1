//! The lease renewal that an owner sends to a worker.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::TaskAttempt;

/// The periodic lease renewal (heartbeat) that an owner sends to a worker. It also acknowledges
/// ended runs, whose records the worker then drops.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRenewal {
    /// The number of the owner's shard.
    pub shard: u16,
    /// The epoch at which the owner holds the shard.
    pub epoch: OwnerEpoch,
    /// How long after the arrival of this renewal the worker may continue its runs without another
    /// one.
    pub lease: Duration,
    /// The ended runs whose ends the owner has committed.
    pub acknowledged: Vec<TaskAttempt>,
    /// The maximum number of measurements in the report. If there are more, the worker keeps the
    /// newest one of each run and reports service tasks first, then the runs that were not reported
    /// for the longest time. The ends of runs are not limited and never delayed.
    pub usage_limit: u32,
}
