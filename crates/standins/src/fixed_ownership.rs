//! An ownership that its maker sets.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use indexmap::IndexMap;
use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_ports::OwnershipView;

/// An ownership that its maker sets, in place of the one agreed through the table.
#[derive(Debug, Default)]
pub struct FixedOwnership {
    held: Mutex<IndexMap<ResourceId, (OwnerEpoch, Duration)>>,
}

impl FixedOwnership {
    /// Creates an ownership that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Holds a resource from the start.
    pub fn with_held(self, resource: ResourceId, epoch: OwnerEpoch) -> Self {
        self.hold(resource, epoch, Duration::ZERO);
        self
    }

    /// Holds a resource that must stay idle for some time.
    pub fn hold(&self, resource: ResourceId, epoch: OwnerEpoch, idle: Duration) {
        self.lock().insert(resource, (epoch, idle));
    }

    /// Loses a resource.
    pub fn lose(&self, resource: ResourceId) {
        self.lock().shift_remove(&resource);
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ResourceId, (OwnerEpoch, Duration)>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnershipView for FixedOwnership {
    fn may_act(&self, resource: ResourceId) -> Option<OwnerEpoch> {
        self.lock().get(&resource).map(|(epoch, _)| *epoch)
    }

    fn held(&self) -> Vec<(ResourceId, OwnerEpoch)> {
        let held = self.lock();
        held.iter()
            .map(|(resource, (epoch, _))| (*resource, *epoch))
            .collect()
    }

    fn idle_for(&self, resource: ResourceId) -> Duration {
        self.lock()
            .get(&resource)
            .map_or(Duration::ZERO, |(_, idle)| *idle)
    }
}
