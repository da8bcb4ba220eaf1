//! The inventory of a worker.

use jasminebend_base::{
    OwnerEpoch,
    ResourceAmount, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::WorkerTask;

/// The inventory of a worker: its incarnation, epoch, capacity and all runs that it knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerInventory {
    /// The incarnation of the worker, which changes with each restart and with each move to another
    /// shard. A restarted worker has lost its runs, and at a move all runs have ended.
    pub incarnation: u64,
    /// The epoch that the worker has adopted.
    pub epoch: OwnerEpoch,
    /// The total that the worker's tasks can reserve.
    pub capacity: ResourceAmount,
    /// The runs in progress, and the ended runs that are not yet acknowledged.
    pub tasks: Vec<WorkerTask>,
}
