//! The heartbeat of an owner.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::TaskAttempt;

/// The heartbeat of an owner: it renews the worker's lease and acknowledges ended runs, whose
/// records the worker then drops.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRenewal {
    /// The owner's shard.
    pub shard: u16,
    /// The owner's epoch.
    pub epoch: OwnerEpoch,
    /// How long, from the arrival of this renewal, the worker may go on with its runs unheard.
    pub lease: Duration,
    /// The ended runs whose end is committed.
    pub acknowledged: Vec<TaskAttempt>,
    /// The most measurements that the report may carry. Beyond it, the worker keeps the newest one
    /// of each run and reports services first, then the runs longest unreported. Ends are never
    /// held back.
    pub usage_limit: u32,
}
