//! The view of held resources that the other parts of the daemon use.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_ownership::MemberMachine;
use jasminebend_ports::{
    ClockSource,
    OwnershipView, //
};

/// A view of the resources that this daemon holds. Each call reads the clock, so that a process that
/// was paused does not act on outdated ownership.
pub(crate) struct HeldResourcesView {
    machine: Arc<Mutex<MemberMachine>>,
    clock: Arc<dyn ClockSource>,
}

impl HeldResourcesView {
    pub(crate) fn new(machine: Arc<Mutex<MemberMachine>>, clock: Arc<dyn ClockSource>) -> Self {
        Self { machine, clock }
    }

    fn lock(&self) -> MutexGuard<'_, MemberMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnershipView for HeldResourcesView {
    fn may_act(&self, resource: ResourceId) -> Option<OwnerEpoch> {
        let machine = self.lock();
        machine.may_act(self.clock.monotonic(), resource)
    }

    fn owned_resources(&self) -> Vec<(ResourceId, OwnerEpoch)> {
        let machine = self.lock();
        machine.usable_resources(self.clock.monotonic())
    }

    fn remaining_takeover_delay(&self, resource: ResourceId) -> Duration {
        let machine = self.lock();
        machine.idle_for(self.clock.monotonic(), resource)
    }
}
