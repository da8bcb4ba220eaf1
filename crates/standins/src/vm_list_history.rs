//! The VM list of the stand-in, with its recent versions.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use jasminebend_base::{
    VmName,
    VmRecord,
    VmSnapshot,
    VmState, //
};

/// The maximum number of versions kept. Older versions are dropped.
const MAX_VERSIONS: usize = 64;

/// The VM list of the stand-in, with its recent versions. Readers see the version that was current some time ago.
#[derive(Debug)]
pub(crate) struct VmListHistory {
    current: VmSnapshot,
    /// The versions, each with the time of its change, oldest first. The oldest version is always visible.
    versions: VecDeque<(Duration, VmSnapshot)>,
}

impl VmListHistory {
    pub(crate) fn new(vms: Vec<VmRecord>) -> Self {
        let current = VmSnapshot { revision: 1, vms };
        Self {
            versions: VecDeque::from([(Duration::ZERO, current.clone())]),
            current,
        }
    }

    pub(crate) fn change<Change>(&mut self, now: Duration, change: Change)
    where
        Change: FnOnce(&mut Vec<VmRecord>),
    {
        change(&mut self.current.vms);
        self.current.revision += 1;
        self.versions.push_back((now, self.current.clone()));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    pub(crate) fn leave(&mut self, now: Duration, name: &VmName) {
        self.change(now, |vms| {
            for vm in vms.iter_mut().filter(|vm| vm.name == *name) {
                vm.state = VmState::Leaving;
            }
        });
    }

    /// Returns the version that readers see at `now` with the given lag, or if `stale`, the version before it.
    pub(crate) fn read(&self, now: Duration, lag: Duration, stale: bool) -> VmSnapshot {
        let changes = self.versions.iter().skip(1);
        let visible = changes
            .take_while(|(since, _)| now.saturating_sub(*since) >= lag)
            .count();
        let index = visible.saturating_sub(usize::from(stale));
        self.versions
            .get(index)
            .map_or_else(VmSnapshot::default, |(_, snapshot)| snapshot.clone())
    }
}
