//! A part of the daemon that acts on what the daemon holds.

use async_trait::async_trait;
use jasminebend_base::ResourceId;

/// A part of the daemon that acts on what the daemon holds.
#[async_trait]
pub trait ResourceUser: Send + Sync {
    /// Waits until nothing that this part began on `resource` is in progress. Whoever calls it has
    /// seen to it that [`crate::OwnershipView::may_act`] grants the resource no more.
    async fn wait_idle(&self, resource: ResourceId);
}
