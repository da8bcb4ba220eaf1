//! The order to follow a newer owner.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The order to follow a newer owner: from then on, the worker refuses orders of older epochs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochAdoption {
    /// The owner's shard.
    pub shard: u16,
    /// The owner's epoch.
    pub epoch: OwnerEpoch,
    /// The lease that the owner grants with it.
    pub lease: Duration,
}
