//! An ownership view that a test sets directly.

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

/// An ownership view that a test sets directly, in place of the one that daemons agree on through the table.
#[derive(Debug, Default)]
pub struct FixedOwnership {
    /// For each owned resource, its epoch and the time for which it must stay idle.
    held: Mutex<IndexMap<ResourceId, (OwnerEpoch, Duration)>>,
}

impl FixedOwnership {
    /// Creates a view without owned resources.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an owned resource without an idle time.
    pub fn with_owned(self, resource: ResourceId, epoch: OwnerEpoch) -> Self {
        self.set_owned(resource, epoch, Duration::ZERO);
        self
    }

    /// Adds an owned resource that must stay idle for the time `idle`.
    pub fn set_owned(&self, resource: ResourceId, epoch: OwnerEpoch, idle: Duration) {
        self.lock().insert(resource, (epoch, idle));
    }

    /// Removes a resource, as after a takeover by another daemon.
    pub fn remove(&self, resource: ResourceId) {
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

    fn owned_resources(&self) -> Vec<(ResourceId, OwnerEpoch)> {
        let held = self.lock();
        held.iter()
            .map(|(resource, (epoch, _))| (*resource, *epoch))
            .collect()
    }

    fn remaining_takeover_delay(&self, resource: ResourceId) -> Duration {
        self.lock()
            .get(&resource)
            .map_or(Duration::ZERO, |(_, idle)| *idle)
    }
}
