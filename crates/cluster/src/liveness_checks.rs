//! How the actor finds out which daemons are gone.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::VmSnapshot;
use jasminebend_ownership::HolderId;
use ractor::ActorRef;
use rand::RngExt;
use spdlog::info;
use tokio::time::timeout;

use crate::{
    ProbeOutcome,
    cluster_message::ClusterMessage,
    cluster_state::{
        ClusterState,
        TABLE_TIMEOUT,
        report, //
    }, //
};

/// How often a connection to a silent peer is replaced.
const RESET_INTERVAL: Duration = Duration::from_secs(2);

/// How many refused probes in a row show that a process is gone.
const REFUSALS: u8 = 2;

impl ClusterState {
    pub(crate) fn end_probe(&mut self, holder: HolderId, outcome: ProbeOutcome) {
        if outcome != ProbeOutcome::Refused {
            self.refusals.shift_remove(&holder);
            return;
        }
        let refusals = self.refusals.entry(holder).or_insert(0);
        *refusals += 1;
        if *refusals >= REFUSALS {
            self.refusals.shift_remove(&holder);
            info!(
                "[cluster] The daemon of {} is gone: its address refuses.",
                holder
            );
            self.lock().mark_terminated(holder);
        }
    }

    pub(crate) fn read_vms_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        if now < self.vm_due {
            return;
        }
        let jitter = self.random.random_range(0.8..1.2);
        self.vm_due = now + self.settings.vm_poll.mul_f64(jitter);
        let list = self.edges.vm_list.clone();
        report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, list.read()).await;
            ClusterMessage::VmsRead(read.ok().and_then(Result::ok))
        });
    }

    pub(crate) fn read_vms(&mut self, list: Option<VmSnapshot>) {
        let now = self.now();
        let Some(list) = list else {
            if now > self.vm_read_at + self.settings.vm_poll * 3 {
                self.absences.forget();
            }
            return;
        };
        self.vm_read_at = now;
        self.observe_absent(now, &list);
        let newer = list.revision > self.vms.borrow().revision;
        if newer || self.vms.borrow().vms.is_empty() {
            self.vms.send_replace(Arc::new(list));
        }
    }

    pub(crate) fn observe_absent(&mut self, now: Duration, list: &VmSnapshot) {
        let silent = self.lock().silent_processes(now);
        let watched = silent.iter().filter_map(|(_, vm)| vm.clone());
        let gone = self.absences.read(now, list, watched);
        for (holder, vm) in silent {
            if vm.is_some_and(|vm| gone.contains(&vm)) {
                info!(
                    "[cluster] The daemon of {} is gone: its VM left the VM list.",
                    holder
                );
                self.lock().mark_terminated(holder);
            }
        }
    }

    /// Something between two daemons may have lost track of a connection; a new one may work.
    pub(crate) fn reset_silent(&mut self) {
        let now = self.now();
        if now < self.reset_due {
            return;
        }
        self.reset_due = now + RESET_INTERVAL;
        let silent = self.lock().unresponsive_peer_addresses(now);
        for address in silent {
            self.link.reset(address);
        }
    }
}
