//! Detects VMs that have long been absent from the VM list.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::{
    VmName,
    VmSnapshot, //
};

/// Detects VMs that have long been absent from the VM list.
///
/// The list lags in both directions: it may omit VMs that exist and show VMs that no longer exist. A VM
/// counts as terminated only if it was absent from every read for longer than twice the lag, while this
/// daemon's own VM was listed in each of them: an emptied list proves nothing.
#[derive(Debug)]
pub(crate) struct VmAbsenceTracker {
    /// The VM of this daemon; if it is `None`, no VM ever counts as terminated.
    own_vm: Option<VmName>,
    /// How long a VM must be absent before it counts as terminated.
    min_absence: Duration,
    /// When each absent VM was first absent, on the daemon's monotonic clock.
    absent_since: IndexMap<VmName, Duration>,
}

impl VmAbsenceTracker {
    pub(crate) fn new(own_vm: Option<VmName>, min_absence: Duration) -> Self {
        Self {
            own_vm,
            min_absence,
            absent_since: IndexMap::new(),
        }
    }

    /// Records a read of the VM list, and returns those of the `watched` VMs that count as terminated.
    pub(crate) fn record_list<Watched>(
        &mut self,
        now: Duration,
        list: &VmSnapshot,
        watched: Watched,
    ) -> Vec<VmName>
    where
        Watched: IntoIterator<Item = VmName>,
    {
        let listed = |name: &VmName| list.vms.iter().any(|vm| vm.name == *name);
        if !self.own_vm.as_ref().is_some_and(listed) {
            self.absent_since.clear();
            return Vec::new();
        }
        let absent: Vec<VmName> = watched.into_iter().filter(|name| !listed(name)).collect();
        self.absent_since.retain(|name, _| absent.contains(name));
        let mut terminated = Vec::new();
        for name in absent {
            let since = *self.absent_since.entry(name.clone()).or_insert(now);
            if now >= since.saturating_add(self.min_absence) {
                terminated.push(name);
            }
        }
        terminated
    }

    /// Discards all recorded absences, because the list could not be read for some time.
    pub(crate) fn clear(&mut self) {
        self.absent_since.clear();
    }
}
