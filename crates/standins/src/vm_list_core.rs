//! The VM list of the stand-in, with its history.

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

const HISTORY: usize = 64;

/// The VM list of the stand-in, with its history: readers see it as it was some time ago.
#[derive(Debug)]
pub(crate) struct VmListCore {
    present: VmSnapshot,
    /// What the list was, and since when; the oldest entry is always visible.
    history: VecDeque<(Duration, VmSnapshot)>,
}

impl VmListCore {
    pub(crate) fn new(vms: Vec<VmRecord>) -> Self {
        let present = VmSnapshot { revision: 1, vms };
        Self {
            history: VecDeque::from([(Duration::ZERO, present.clone())]),
            present,
        }
    }

    pub(crate) fn change<Change>(&mut self, now: Duration, change: Change)
    where
        Change: FnOnce(&mut Vec<VmRecord>),
    {
        change(&mut self.present.vms);
        self.present.revision += 1;
        self.history.push_back((now, self.present.clone()));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    pub(crate) fn leave(&mut self, now: Duration, name: &VmName) {
        self.change(now, |vms| {
            for vm in vms.iter_mut().filter(|vm| vm.name == *name) {
                vm.state = VmState::Leaving;
            }
        });
    }

    /// Returns the list as it is seen at `now`, or as it was seen one change before.
    pub(crate) fn read(&self, now: Duration, lag: Duration, stale: bool) -> VmSnapshot {
        let changes = self.history.iter().skip(1);
        let seen = changes
            .take_while(|(since, _)| now.saturating_sub(*since) >= lag)
            .count();
        let place = seen.saturating_sub(usize::from(stale));
        self.history
            .get(place)
            .map_or_else(VmSnapshot::default, |(_, snapshot)| snapshot.clone())
    }
}
