//! The order to follow a newer owner.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The order to follow a newer owner: from then on, the worker refuses orders of older epochs.
///
/// Epochs are those of one shard and cannot be compared with another's. When the number of shards or
/// a rack's name changes, a worker comes to another shard: it refuses that one's adoption until the
/// lease from the former shard has lapsed, and its runs with it, then follows it at any epoch, under
/// a new incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochAdoption {
    /// The owner's shard.
    pub shard: u16,
    /// The owner's epoch.
    pub epoch: OwnerEpoch,
    /// The lease that the owner grants with it.
    pub lease: Duration,
}
