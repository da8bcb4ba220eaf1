//! The permission of a shard's owner to act.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_ports::OwnershipView;

/// The permission of a shard's owner to act, checked immediately before each action.
#[derive(Clone)]
pub(crate) struct ShardPermit {
    pub(crate) ownership: Arc<dyn OwnershipView>,
    pub(crate) shard: u16,
    pub(crate) epoch: OwnerEpoch,
}

impl ShardPermit {
    /// Returns whether this daemon may act as owner under this epoch now.
    pub(crate) fn is_granted(&self) -> bool {
        self.ownership.may_act(ResourceId::Shard(self.shard)) == Some(self.epoch)
    }

    /// Returns how long the shard must still stay idle after a takeover.
    pub(crate) fn idle_for(&self) -> Duration {
        self.ownership
            .remaining_takeover_delay(ResourceId::Shard(self.shard))
    }
}
