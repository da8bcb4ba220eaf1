//! The resources that this daemon owns, as seen by the components that use them.

use std::time::Duration;

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};

/// The resources that this daemon owns, as seen by the components that use them.
///
/// A component must ask immediately before each action. The answer depends on the current time, so
/// that a daemon that was paused, or that is partitioned from more than half of the members, is
/// told that it may no longer act.
pub trait OwnershipView: Send + Sync {
    /// Returns the epoch at which this daemon may act on `resource` now; `None` if it may not.
    fn may_act(&self, resource: ResourceId) -> Option<OwnerEpoch>;

    /// Returns the resources on which this daemon may act now, and its epoch of each.
    fn owned_resources(&self) -> Vec<(ResourceId, OwnerEpoch)>;

    /// Returns how long from now a resource that was taken over at its present epoch must stay
    /// idle, because actions of its former owner may still be in progress.
    fn remaining_takeover_delay(&self, resource: ResourceId) -> Duration;
}
