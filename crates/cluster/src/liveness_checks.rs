//! Detects which daemons have terminated, by probes of their addresses and by the VM list.

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
        spawn_and_report, //
    }, //
};

/// The interval at which the connections to unresponsive peers are replaced.
const PEER_RESET_INTERVAL: Duration = Duration::from_secs(2);

/// How many consecutive refused probes prove that a process has terminated.
const MIN_REFUSED_PROBES: u8 = 2;

impl ClusterState {
    /// Counts refused probes of a process, and marks it as terminated after enough of them.
    pub(crate) fn finish_probe(&mut self, holder: HolderId, outcome: ProbeOutcome) {
        if outcome != ProbeOutcome::Refused {
            self.refused_probes.shift_remove(&holder);
            return;
        }
        let refused = self.refused_probes.entry(holder).or_insert(0);
        *refused += 1;
        if *refused >= MIN_REFUSED_PROBES {
            self.refused_probes.shift_remove(&holder);
            info!(
                "[cluster] The daemon of {} has terminated: its address refuses connections.",
                holder
            );
            self.lock().mark_terminated(holder);
        }
    }

    /// Starts a read of the VM list if the next one is due.
    pub(crate) fn read_vm_list_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        if now < self.next_vm_list_read_at {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        self.next_vm_list_read_at = now + self.settings.vm_list_interval.mul_f64(jitter);
        let list = self.ports.vm_list.clone();
        spawn_and_report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, list.read()).await;
            ClusterMessage::VmListRead(read.ok().and_then(Result::ok))
        });
    }

    /// Applies a read of the VM list. After three intervals without a successful one, the
    /// recorded absences are discarded.
    pub(crate) fn apply_vm_list(&mut self, list: Option<VmSnapshot>) {
        let now = self.now();
        let Some(list) = list else {
            if now > self.last_vm_list_read_at + self.settings.vm_list_interval * 3 {
                self.absence_tracker.clear();
            }
            return;
        };
        self.last_vm_list_read_at = now;
        self.mark_absent_vms_terminated(now, &list);
        let newer = list.revision > self.vms.borrow().revision;
        if newer || self.vms.borrow().vms.is_empty() {
            self.vms.send_replace(Arc::new(list));
        }
    }

    /// Marks silent daemons as terminated if their VMs have long been absent from the VM list.
    pub(crate) fn mark_absent_vms_terminated(&mut self, now: Duration, list: &VmSnapshot) {
        let silent = self.lock().silent_processes(now);
        let silent_vms = silent.iter().filter_map(|(_, vm)| vm.clone());
        let terminated_vms = self.absence_tracker.record_list(now, list, silent_vms);
        for (holder, vm) in silent {
            if vm.is_some_and(|vm| terminated_vms.contains(&vm)) {
                info!(
                    "[cluster] The daemon of {} has terminated: its VM left the VM list.",
                    holder
                );
                self.lock().mark_terminated(holder);
            }
        }
    }

    /// Replaces the connections to unresponsive peers: a device on the network path may have lost the
    /// state of a connection, and a new one may work.
    pub(crate) fn reset_unresponsive_peers(&mut self) {
        let now = self.now();
        if now < self.next_reset_at {
            return;
        }
        self.next_reset_at = now + PEER_RESET_INTERVAL;
        let addresses = self.lock().unresponsive_peer_addresses(now);
        for address in addresses {
            self.link.reset(address);
        }
    }
}
