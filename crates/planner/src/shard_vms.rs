//! How a shard's owner follows the VM list, and which workers may take tasks.

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
    /// Follows the VM list.
    pub(crate) fn refresh_workers(&mut self, now: Duration) {
        if !self.vms.has_changed().unwrap_or(false) {
            return;
        }
        let snapshot = self.vms.borrow_and_update().clone();
        self.listed.clear();
        for worker in snapshot.vms.iter().filter_map(|vm| vm.worker.as_ref()) {
            let shard = shard_of_rack(&worker.rack, self.settings.shards);
            *self.listed.entry(shard).or_default() += 1;
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

    fn refresh_worker(&mut self, vm: &VmRecord, now: Duration) -> Option<WorkerKey> {
        let worker = vm.worker.as_ref()?;
        if shard_of_rack(&worker.rack, self.settings.shards) != self.calls.permit.shard {
            return None;
        }
        let key = self.pool.add(&vm.name, &vm.domain, worker.capacity);
        let holds_until = now + self.former_lease();
        let link = self.links.entry(key).or_insert_with(|| {
            self.contacts.insert((now, key));
            WorkerLink::new(worker.address, vm.domain.clone(), holds_until)
        });
        link.leaving = vm.state == VmState::Leaving;
        if link.address.port() == 0 {
            link.address = worker.address;
            self.contact_soon(key, now);
        } else if link.address != worker.address {
            // The list lags and may be wrong: what runs at the former address is not lost because the
            // new one does not know it, but only once its lease has surely lapsed.
            link.moved_to = Some(worker.address);
            link.note_silence();
            self.contact_soon(key, now);
        } else {
            link.moved_to = None;
        }
        Some(key)
    }

    /// Returns the worker of a name from the journal, also if the VM list no longer has it.
    pub(crate) fn worker_of(&mut self, name: &VmName) -> WorkerKey {
        if let Some(key) = self.pool.key_of(name) {
            return key;
        }
        let now = self.now();
        let domain = DomainName::from("");
        let key = self.pool.add(name, &domain, ResourceAmount::default());
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut link = WorkerLink::new(address, domain, now + self.former_lease());
        link.listed = false;
        self.links.insert(key, link);
        self.contacts.insert((now, key));
        key
    }

    /// Works out whether a worker may take tasks.
    pub(crate) fn refresh_condition(&mut self, key: WorkerKey) {
        let link = &self.links[&key];
        let condition = if link.phase != LinkPhase::Adopted || !link.listed {
            WorkerCondition::Silent
        } else if link.leaving {
            WorkerCondition::Leaving
        } else if link.set_aside.is_some() {
            WorkerCondition::Quarantined
        } else {
            WorkerCondition::Open
        };
        let pressed = link.ladder.speed_millis() < 1000;
        self.pool.set_services_slowed(key, pressed);
        self.pool.set_condition(key, condition);
        if link.leaving {
            self.leave_worker(key);
        }
    }
}
