//! The workers of a shard and what is left on them.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmName, //
};

use crate::{
    ClassKey,
    PoolWorker,
    WorkerCondition,
    WorkerKey,
    domain_gate::DomainGate,
    room_index::RoomIndex, //
};

/// The workers of one failure domain.
#[derive(Clone, Debug)]
pub(crate) struct PoolDomain {
    pub(crate) gate: DomainGate,
    pub(crate) index: RoomIndex,
    pub(crate) workers: usize,
}

/// The workers of a shard and what is left on them. What a task takes is set aside here before its
/// run is even committed, so that two decisions never count on the same room.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    workers: Vec<PoolWorker>,
    names: IndexMap<VmName, WorkerKey>,
    pub(crate) domains: IndexMap<DomainName, PoolDomain>,
    largest: Vec<ResourceAmount>,
    releases: u64,
}

impl WorkerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker, or finds the one of this name. Its condition is silent at first.
    pub fn add(
        &mut self,
        name: &VmName,
        domain: &DomainName,
        capacity: ResourceAmount,
    ) -> WorkerKey {
        if let Some(key) = self.names.get(name) {
            let key = *key;
            self.set_capacity(key, capacity);
            return key;
        }
        let key = WorkerKey(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        let worker = PoolWorker::new(name.clone(), domain.clone(), capacity);
        self.workers.push(worker);
        self.names.insert(name.clone(), key);
        self.domain_entry(domain).workers += 1;
        self.note_capacity(capacity);
        key
    }

    /// Returns the worker of this name.
    pub fn find(&self, name: &VmName) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    /// Returns a worker.
    pub fn worker(&self, key: WorkerKey) -> &PoolWorker {
        &self.workers[key.slot()]
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &PoolWorker)> {
        (0..).map(WorkerKey).zip(&self.workers)
    }

    /// Returns a number that grows whenever room may have become free.
    pub fn releases(&self) -> u64 {
        self.releases
    }

    /// Tells whether any worker, were it empty, could hold this much.
    pub fn could_hold(&self, size: ResourceAmount) -> bool {
        self.largest.iter().any(|capacity| size.fits_in(*capacity))
    }

    /// Returns the capacities that no other worker's exceeds.
    pub fn largest(&self) -> &[ResourceAmount] {
        &self.largest
    }

    /// Sets whether a worker may take tasks.
    pub fn set_condition(&mut self, key: WorkerKey, condition: WorkerCondition) {
        if self.workers[key.slot()].condition == condition {
            return;
        }
        self.workers[key.slot()].condition = condition;
        self.releases += 1;
        self.reindex(key);
    }

    /// Sets whether a worker's services are slowed.
    pub fn set_pressed(&mut self, key: WorkerKey, pressed: bool) {
        let worker = &mut self.workers[key.slot()];
        self.releases += u64::from(worker.pressed && !pressed);
        worker.pressed = pressed;
    }

    /// Sets what a worker can hold.
    pub fn set_capacity(&mut self, key: WorkerKey, capacity: ResourceAmount) {
        if self.workers[key.slot()].capacity == capacity {
            return;
        }
        self.workers[key.slot()].capacity = capacity;
        self.note_capacity(capacity);
        self.releases += 1;
        self.reindex(key);
    }

    /// Sets room aside for a task.
    pub fn reserve(&mut self, key: WorkerKey, class: ClassKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.slot()];
        worker.reserved += size;
        worker.join(class);
        self.reindex(key);
    }

    /// Gives a task's room back.
    pub fn release(&mut self, key: WorkerKey, class: ClassKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.slot()];
        worker.reserved = worker.reserved.saturating_sub(size);
        worker.part(class);
        self.releases += 1;
        self.reindex(key);
    }

    /// Sets room aside for a run that belongs nowhere and still runs.
    pub fn reserve_stray(&mut self, key: WorkerKey, size: ResourceAmount) {
        self.workers[key.slot()].reserved += size;
        self.reindex(key);
    }

    /// Gives the room of such a run back.
    pub fn release_stray(&mut self, key: WorkerKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.slot()];
        worker.reserved = worker.reserved.saturating_sub(size);
        self.releases += 1;
        self.reindex(key);
    }

    /// Counts more, or less, for a task that is measured.
    pub fn recount(&mut self, key: WorkerKey, before: ResourceAmount, after: ResourceAmount) {
        let worker = &mut self.workers[key.slot()];
        worker.reserved = worker.reserved.saturating_sub(before) + after;
        self.reindex(key);
    }

    /// Sets whether a failure domain takes work; one that comes back fills slowly.
    pub fn set_domain(&mut self, domain: &DomainName, takes_work: bool, now: Duration) {
        let entry = self.domain_entry(domain);
        if entry.gate.is_open() == takes_work {
            return;
        }
        if takes_work {
            entry.gate.reopen(now);
        } else {
            entry.gate.close();
        }
        self.releases += 1;
    }

    /// Tells whether a worker's failure domain takes one more start now.
    pub fn domain_admits(&self, key: WorkerKey, now: Duration) -> bool {
        let entry = self.domains.get(&self.worker(key).domain);
        entry.is_none_or(|entry| entry.gate.admits(now))
    }

    /// Returns a worker in a failure domain that takes work with room for this much, if the emptiest
    /// ones have it.
    pub fn some_room(&self, size: ResourceAmount) -> Option<WorkerKey> {
        let open = self.domains.values().filter(|entry| entry.gate.is_open());
        let mut emptiest = open.filter_map(|entry| entry.index.emptiest_first(size).next());
        emptiest.find(|key| size.fits_in(self.worker(*key).room()))
    }

    /// Tells whether a failure domain takes work.
    pub fn domain_takes_work(&self, domain: &DomainName) -> bool {
        self.domains
            .get(domain)
            .is_none_or(|entry| entry.gate.is_open())
    }

    /// Counts the time that passed for the failure domains that fill.
    pub fn count_time(&mut self, now: Duration) {
        for domain in self.domains.values_mut() {
            let admitted = domain.gate.admits(now);
            domain.gate.count_time(now, domain.workers);
            if !admitted && domain.gate.admits(now) {
                self.releases += 1;
            }
        }
    }

    /// Counts a start in a failure domain.
    pub fn note_start(&mut self, key: WorkerKey) {
        let domain = self.workers[key.slot()].domain.clone();
        self.domain_entry(&domain).gate.note_start();
    }

    fn domain_entry(&mut self, domain: &DomainName) -> &mut PoolDomain {
        if !self.domains.contains_key(domain) {
            let entry = PoolDomain {
                gate: DomainGate::new(),
                index: RoomIndex::new(),
                workers: 0,
            };
            self.domains.insert(domain.clone(), entry);
        }
        &mut self.domains[domain]
    }

    fn note_capacity(&mut self, capacity: ResourceAmount) {
        if self.could_hold(capacity) {
            return;
        }
        self.largest.retain(|known| !known.fits_in(capacity));
        self.largest.push(capacity);
    }

    fn reindex(&mut self, key: WorkerKey) {
        let worker = &self.workers[key.slot()];
        let Some(domain) = self.domains.get_mut(&worker.domain) else {
            return;
        };
        match worker.condition {
            WorkerCondition::Open => domain.index.set(key, worker.room()),
            _ => domain.index.remove(key),
        }
    }
}
