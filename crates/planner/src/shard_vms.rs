//! Applies the VM list, and decides which workers may receive tasks.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use indexmap::IndexSet;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName,
    VmRecord,
    VmState, //
};
use jasminebend_placement::{
    WorkerCondition,
    WorkerKey,
    shard_of_rack, //
};

use crate::{
    link_phase::LinkPhase,
    shard_state::ShardState,
    worker_link::WorkerLink, //
};

impl ShardState {
    /// Applies a changed VM list.
    pub(crate) fn refresh_workers(&mut self, now: Duration) {
        if !self.vms.has_changed().unwrap_or(false) {
            return;
        }
        let snapshot = self.vms.borrow_and_update().clone();
        self.workers_by_shard.clear();
        for worker in snapshot.vms.iter().filter_map(|vm| vm.worker.as_ref()) {
            let shard = shard_of_rack(&worker.rack, self.settings.shards);
            *self.workers_by_shard.entry(shard).or_default() += 1;
        }
        let mut listed = IndexSet::new();
        for vm in &snapshot.vms {
            if let Some(key) = self.refresh_worker(vm, now) {
                listed.insert(key);
            }
        }
        for (key, link) in &mut self.links {
            link.listed = listed.contains(key);
        }
        let keys: Vec<WorkerKey> = self.links.keys().copied().collect();
        for key in keys {
            self.refresh_condition(key);
        }
    }

    /// Applies a VM's entry; returns its worker's key if the worker belongs to this shard.
    fn refresh_worker(&mut self, vm: &VmRecord, now: Duration) -> Option<WorkerKey> {
        let worker = vm.worker.as_ref()?;
        if shard_of_rack(&worker.rack, self.settings.shards) != self.calls.permit.shard {
            return None;
        }
        let key = self.pool.add(&vm.name, &vm.domain, worker.capacity);
        let lease_lapses_by = now + self.former_owner_lease();
        let link = self.links.entry(key).or_insert_with(|| {
            self.scheduled_calls.insert((now, key));
            WorkerLink::new(worker.address, vm.domain.clone(), lease_lapses_by)
        });
        link.leaving = vm.state == VmState::Leaving;
        if link.address.port() == 0 {
            link.address = worker.address;
            self.reschedule_call(key, now);
        } else if link.address != worker.address {
            // The list may be late or wrong. Runs at the former address are not lost just because
            // the new address does not know them, but only once their lease is certain to have
            // lapsed.
            link.new_address = Some(worker.address);
            link.mark_silent();
            self.reschedule_call(key, now);
        } else {
            link.new_address = None;
        }
        Some(key)
    }

    /// Returns the worker with a name from the journal; adds it, without an address, if the VM list
    /// does not contain it any more.
    pub(crate) fn worker_named(&mut self, name: &VmName) -> WorkerKey {
        if let Some(key) = self.pool.key_of(name) {
            return key;
        }
        let now = self.now();
        let domain = DomainName::from("");
        let key = self.pool.add(name, &domain, ResourceAmount::default());
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut link = WorkerLink::new(address, domain, now + self.former_owner_lease());
        link.listed = false;
        self.links.insert(key, link);
        self.scheduled_calls.insert((now, key));
        key
    }

    /// Determines whether a worker may receive tasks.
    pub(crate) fn refresh_condition(&mut self, key: WorkerKey) {
        let link = &self.links[&key];
        let condition = if link.phase != LinkPhase::Adopted || !link.listed {
            WorkerCondition::Silent
        } else if link.leaving {
            WorkerCondition::Leaving
        } else if link.quarantined_until.is_some() {
            WorkerCondition::Quarantined
        } else {
            WorkerCondition::Open
        };
        let services_slowed = link.overload_controller.speed_millis() < 1000;
        self.pool.set_services_slowed(key, services_slowed);
        self.pool.set_condition(key, condition);
        if link.leaving {
            self.drain_worker(key);
        }
    }
}
