//! A component of the daemon that acts on owned resources.

use async_trait::async_trait;
use jasminebend_base::ResourceId;

/// A component of the daemon that acts on the resources that the daemon owns.
#[async_trait]
pub trait ResourceUser: Send + Sync {
    /// Waits until no action that this component started on `resource` is in progress. Before the
    /// call, [`crate::OwnershipView::may_act`] must already return `None` for the resource, so that
    /// no new action starts.
    async fn wait_idle(&self, resource: ResourceId);
}
