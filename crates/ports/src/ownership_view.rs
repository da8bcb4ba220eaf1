//! What this daemon holds, as its other parts see it.

use std::time::Duration;

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};

/// What this daemon holds, as its other parts see it.
///
/// A part asks immediately before each act: the answer takes the clock into account, so that a
/// daemon that was paused, or that lost touch with more than half of the members, learns here that
/// it may no longer act.
pub trait OwnershipView: Send + Sync {
    /// Returns the epoch under which this daemon may act on `resource` now, or `None`.
    fn may_act(&self, resource: ResourceId) -> Option<OwnerEpoch>;

    /// Returns the resources that this daemon may act on now.
    fn held(&self) -> Vec<(ResourceId, OwnerEpoch)>;

    /// Returns how long, counted from now, a resource taken over at its present epoch must still
    /// stay idle, because acts of its former holder may still be in progress.
    fn idle_for(&self, resource: ResourceId) -> Duration;
}
