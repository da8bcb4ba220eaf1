//! Whether a shard's owner may act.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_ports::OwnershipView;

/// Whether a shard's owner may act; asked immediately before each act.
#[derive(Clone)]
pub(crate) struct ShardPermit {
    pub(crate) ownership: Arc<dyn OwnershipView>,
    pub(crate) shard: u16,
    pub(crate) epoch: OwnerEpoch,
}

impl ShardPermit {
    pub(crate) fn granted(&self) -> bool {
        self.ownership.may_act(ResourceId::Shard(self.shard)) == Some(self.epoch)
    }

    /// Returns how long the shard must still stay idle.
    pub(crate) fn idle_for(&self) -> Duration {
        self.ownership.idle_for(ResourceId::Shard(self.shard))
    }
}
