//! The order to adopt the epoch of a newer owner.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The order to adopt the epoch of a newer owner. The worker then rejects orders with older epochs.
///
/// Epochs of different shards can't be compared. When the number of shards or the name of a rack
/// changes, a worker may move to another shard. It rejects that shard's adoption until the lease
/// from its former shard has expired and its runs have been stopped; then it adopts whatever epoch
/// the new shard has, under a new incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochAdoption {
    /// The number of the owner's shard.
    pub shard: u16,
    /// The epoch at which the owner holds the shard.
    pub epoch: OwnerEpoch,
    /// The duration of the lease that the owner grants, counted from the arrival of this order.
    pub lease: Duration,
}
