//! The workers of a shard and their free capacity.

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
    domain_admission::DomainAdmission,
    free_capacity_index::FreeCapacityIndex, //
};

/// The workers of one failure domain.
#[derive(Clone, Debug)]
pub(crate) struct PoolDomain {
    pub(crate) admission: DomainAdmission,
    /// The open workers of the domain by free capacity.
    pub(crate) free_capacity: FreeCapacityIndex,
    /// The number of all workers of the domain.
    pub(crate) worker_count: usize,
}

/// The workers of a shard and their free capacity. The resources of a task are reserved here before
/// its run is committed, so that no two decisions use the same free capacity.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    workers: Vec<PoolWorker>,
    key_by_name: IndexMap<VmName, WorkerKey>,
    pub(crate) domains: IndexMap<DomainName, PoolDomain>,
    /// The capacities that do not fit into another worker's.
    maximal_capacities: Vec<ResourceAmount>,
    /// How often capacity may have become free.
    releases: u64,
}

impl WorkerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker, which is silent at first, or updates the capacity of the worker of this name.
    pub fn add(
        &mut self,
        name: &VmName,
        domain: &DomainName,
        capacity: ResourceAmount,
    ) -> WorkerKey {
        if let Some(key) = self.key_by_name.get(name) {
            let key = *key;
            self.set_capacity(key, capacity);
            return key;
        }
        let key = WorkerKey(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        let worker = PoolWorker::new(name.clone(), domain.clone(), capacity);
        self.workers.push(worker);
        self.key_by_name.insert(name.clone(), key);
        self.domain_or_insert(domain).worker_count += 1;
        self.record_capacity(capacity);
        key
    }

    /// Returns the key of the worker of this name.
    pub fn key_of(&self, name: &VmName) -> Option<WorkerKey> {
        self.key_by_name.get(name).copied()
    }

    /// Returns the worker that has this key.
    pub fn worker(&self, key: WorkerKey) -> &PoolWorker {
        &self.workers[key.index()]
    }

    /// Returns all workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &PoolWorker)> {
        (0..).map(WorkerKey).zip(&self.workers)
    }

    /// Returns a counter that increases whenever capacity may have become free for a waiting task.
    pub fn release_count(&self) -> u64 {
        self.releases
    }

    /// Returns whether the total capacity of any worker is large enough for this size.
    pub fn any_capacity_fits(&self, size: ResourceAmount) -> bool {
        self.maximal_capacities
            .iter()
            .any(|capacity| size.fits_in(*capacity))
    }

    /// Returns the maximal capacities: those that do not fit into any other worker's capacity.
    pub fn maximal_capacities(&self) -> &[ResourceAmount] {
        &self.maximal_capacities
    }

    /// Sets whether a worker accepts tasks.
    pub fn set_condition(&mut self, key: WorkerKey, condition: WorkerCondition) {
        if self.workers[key.index()].condition == condition {
            return;
        }
        self.workers[key.index()].condition = condition;
        self.releases += 1;
        self.update_index(key);
    }

    /// Sets whether a worker's services are slowed.
    pub fn set_services_slowed(&mut self, key: WorkerKey, services_slowed: bool) {
        let worker = &mut self.workers[key.index()];
        self.releases += u64::from(worker.services_slowed && !services_slowed);
        worker.services_slowed = services_slowed;
    }

    /// Sets the total capacity of a worker.
    pub fn set_capacity(&mut self, key: WorkerKey, capacity: ResourceAmount) {
        if self.workers[key.index()].capacity == capacity {
            return;
        }
        self.workers[key.index()].capacity = capacity;
        self.record_capacity(capacity);
        self.releases += 1;
        self.update_index(key);
    }

    /// Reserves resources for a task on a worker.
    pub fn reserve(&mut self, key: WorkerKey, class: ClassKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.index()];
        worker.reserved += size;
        worker.add_task(class);
        self.update_index(key);
    }

    /// Releases the resources of a task on a worker.
    pub fn release(&mut self, key: WorkerKey, class: ClassKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.index()];
        worker.reserved = worker.reserved.saturating_sub(size);
        worker.remove_task(class);
        self.releases += 1;
        self.update_index(key);
    }

    /// Reserves resources for an orphaned run: one that still runs although the journal assigns it
    /// to another worker or to none.
    pub fn reserve_orphan(&mut self, key: WorkerKey, size: ResourceAmount) {
        self.workers[key.index()].reserved += size;
        self.update_index(key);
    }

    /// Releases the resources of an orphaned run.
    pub fn release_orphan(&mut self, key: WorkerKey, size: ResourceAmount) {
        let worker = &mut self.workers[key.index()];
        worker.reserved = worker.reserved.saturating_sub(size);
        self.releases += 1;
        self.update_index(key);
    }

    /// Replaces the reservation of a task whose use was measured.
    pub fn replace_reservation(
        &mut self,
        key: WorkerKey,
        before: ResourceAmount,
        after: ResourceAmount,
    ) {
        let worker = &mut self.workers[key.index()];
        worker.reserved = worker.reserved.saturating_sub(before) + after;
        self.update_index(key);
    }

    /// Opens or closes a failure domain for task starts. The starts in a domain that reopens are
    /// rate-limited for a while.
    pub fn set_domain_open(&mut self, domain: &DomainName, takes_work: bool, now: Duration) {
        let entry = self.domain_or_insert(domain);
        if entry.admission.is_open() == takes_work {
            return;
        }
        if takes_work {
            entry.admission.reopen(now);
        } else {
            entry.admission.close();
        }
        self.releases += 1;
    }

    /// Returns whether a worker's failure domain admits one more start at present.
    pub fn domain_admits_start(&self, key: WorkerKey, now: Duration) -> bool {
        let entry = self.domains.get(&self.worker(key).domain);
        entry.is_none_or(|entry| entry.admission.admits_start(now))
    }

    /// Returns a worker with this free capacity in an open failure domain. Examines only the
    /// emptiest worker of each domain, so that `None` does not rule out that another has it.
    pub fn find_free_worker(&self, size: ResourceAmount) -> Option<WorkerKey> {
        let open = self
            .domains
            .values()
            .filter(|entry| entry.admission.is_open());
        let mut candidates =
            open.filter_map(|entry| entry.free_capacity.emptiest_first(size).next());
        candidates.find(|key| size.fits_in(self.worker(*key).free_capacity()))
    }

    /// Returns whether a failure domain is open for task starts.
    pub fn is_domain_open(&self, domain: &DomainName) -> bool {
        self.domains
            .get(domain)
            .is_none_or(|entry| entry.admission.is_open())
    }

    /// Admits more starts to the failure domains that reopened, for the time since the last call.
    pub fn refill_start_tokens(&mut self, now: Duration) {
        for domain in self.domains.values_mut() {
            let admitted = domain.admission.admits_start(now);
            domain.admission.refill_tokens(now, domain.worker_count);
            if !admitted && domain.admission.admits_start(now) {
                self.releases += 1;
            }
        }
    }

    /// Counts a start against the rate limit of the worker's failure domain.
    pub fn record_start(&mut self, key: WorkerKey) {
        let domain = self.workers[key.index()].domain.clone();
        self.domain_or_insert(&domain).admission.take_token();
    }

    fn domain_or_insert(&mut self, domain: &DomainName) -> &mut PoolDomain {
        if !self.domains.contains_key(domain) {
            let entry = PoolDomain {
                admission: DomainAdmission::new(),
                free_capacity: FreeCapacityIndex::new(),
                worker_count: 0,
            };
            self.domains.insert(domain.clone(), entry);
        }
        &mut self.domains[domain]
    }

    fn record_capacity(&mut self, capacity: ResourceAmount) {
        if self.any_capacity_fits(capacity) {
            return;
        }
        self.maximal_capacities
            .retain(|known| !known.fits_in(capacity));
        self.maximal_capacities.push(capacity);
    }

    fn update_index(&mut self, key: WorkerKey) {
        let worker = &self.workers[key.index()];
        let Some(domain) = self.domains.get_mut(&worker.domain) else {
            return;
        };
        match worker.condition {
            WorkerCondition::Open => domain
                .free_capacity
                .insert_or_move(key, worker.free_capacity()),
            _ => domain.free_capacity.remove(key),
        }
    }
}
