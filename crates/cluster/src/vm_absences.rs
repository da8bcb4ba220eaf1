//! Which daemons' VMs have long been absent from the VM list.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::{
    VmName,
    VmSnapshot, //
};

/// Which VMs have long been absent from the VM list.
///
/// The list lags both ways. A VM counts as gone only when every reading of a time longer than twice
/// the lag missed it, and when this daemon's own VM was listed meanwhile: an emptied list proves
/// nothing.
#[derive(Debug)]
pub(crate) struct VmAbsences {
    own: Option<VmName>,
    least: Duration,
    missed_since: IndexMap<VmName, Duration>,
}

impl VmAbsences {
    pub(crate) fn new(own: Option<VmName>, least: Duration) -> Self {
        Self {
            own,
            least,
            missed_since: IndexMap::new(),
        }
    }

    /// Takes in a reading, and returns those of `watched` that count as gone.
    pub(crate) fn read<Watched>(
        &mut self,
        now: Duration,
        list: &VmSnapshot,
        watched: Watched,
    ) -> Vec<VmName>
    where
        Watched: IntoIterator<Item = VmName>,
    {
        let listed = |name: &VmName| list.vms.iter().any(|vm| vm.name == *name);
        if !self.own.as_ref().is_some_and(listed) {
            self.missed_since.clear();
            return Vec::new();
        }
        let missed: Vec<VmName> = watched.into_iter().filter(|name| !listed(name)).collect();
        self.missed_since.retain(|name, _| missed.contains(name));
        let mut gone = Vec::new();
        for name in missed {
            let since = *self.missed_since.entry(name.clone()).or_insert(now);
            if now >= since.saturating_add(self.least) {
                gone.push(name);
            }
        }
        gone
    }

    /// Forgets what was missed: the list could not be read for some time.
    pub(crate) fn forget(&mut self) {
        self.missed_since.clear();
    }
}
