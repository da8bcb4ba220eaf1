//! All runs that a worker knows.

use jasminebend_base::{
    OwnerEpoch,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::WorkerTask;

/// All runs that a worker knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerInventory {
    /// Differs after each restart of the worker and after each move to another shard; a restarted
    /// worker has forgotten its runs, and at a move all have ended.
    pub incarnation: u64,
    /// The epoch that the worker follows.
    pub epoch: OwnerEpoch,
    /// What the worker can hold.
    pub capacity: ResourceAmount,
    /// The runs in progress, and those that ended and are not acknowledged.
    pub tasks: Vec<WorkerTask>,
}
