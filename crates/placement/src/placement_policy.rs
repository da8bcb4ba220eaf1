//! The choice of a worker for a task.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName, //
};

use crate::{
    InterferenceModel,
    PoolWorker,
    TaskDemand,
    WaitReason,
    WorkerKey,
    WorkerPool,
    placement_search::PlacementSearch,
    worker_pool::PoolDomain, //
};

/// The number of workers with enough free capacity that are scored.
const MAX_SCORED_WORKERS: usize = 8;
/// The fullest workers that are examined in each failure domain, to pack batch tasks.
const MAX_FULLEST_EXAMINED: usize = 24;
/// The emptiest workers that are examined in each failure domain: for services, and for batch tasks
/// that interference keeps off the fullest workers.
const MAX_EMPTIEST_EXAMINED: usize = 8;
/// What is added to the score of a worker whose services are already slowed.
const SLOWED_SERVICES_PENALTY: f64 = 1.0;

/// Chooses a worker for a task: one with enough free capacity on which no service is slowed beyond
/// its target. Services are spread over failure domains, batch tasks are packed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Whether learned interference is taken into account.
    avoids_interference: bool,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            avoids_interference: true,
        }
    }
}

impl PlacementPolicy {
    /// Creates a policy that takes learned interference into account.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether learned interference is taken into account.
    pub fn with_interference(mut self, avoids_interference: bool) -> Self {
        self.avoids_interference = avoids_interference;
        self
    }

    /// Chooses a worker for a task.
    ///
    /// # Errors
    ///
    /// Returns why no worker can take the task at present.
    pub fn choose(
        &self,
        pool: &WorkerPool,
        model: &InterferenceModel,
        demand: &TaskDemand<'_>,
        now: Duration,
    ) -> Result<WorkerKey, WaitReason> {
        let mut search = PlacementSearch::new();
        // The search for a batch task ends once enough workers are scored. Its first failure domain
        // rotates, so that none fills up before the others.
        let count = pool.domains.len();
        let first_domain = pool.release_count() as usize % count.max(1);
        for offset in 0..count {
            let Some((name, domain)) = pool.domains.get_index((first_domain + offset) % count)
            else {
                continue;
            };
            if !domain.admission.admits_start(now) {
                search.record_reason(closed_domain_reason(domain, demand));
                continue;
            }
            search.job_tasks_in_domain = job_tasks_in_domain(demand, name);
            self.search_domain(pool, domain, model, demand, &mut search);
            if demand.kind == ClassKind::Batch && search.scored >= MAX_SCORED_WORKERS {
                break;
            }
        }
        search.best.map(|(_, _, key)| key).ok_or(search.reason)
    }

    fn search_domain(
        &self,
        pool: &WorkerPool,
        domain: &PoolDomain,
        model: &InterferenceModel,
        demand: &TaskDemand<'_>,
        search: &mut PlacementSearch,
    ) {
        let fits = |key: &WorkerKey| fits(pool.worker(*key), demand);
        let emptiest = domain
            .free_capacity
            .emptiest_first(demand.size)
            .filter(fits);
        let emptiest = emptiest.take(MAX_EMPTIEST_EXAMINED);
        if demand.kind == ClassKind::Service {
            return self.score_workers(pool, emptiest, model, demand, search);
        }
        let fullest = domain.free_capacity.fullest_first(demand.size).filter(fits);
        self.score_workers(
            pool,
            fullest.take(MAX_FULLEST_EXAMINED),
            model,
            demand,
            search,
        );
        if search.scored == 0 {
            self.score_workers(pool, emptiest, model, demand, search);
        }
    }

    fn score_workers<Keys>(
        &self,
        pool: &WorkerPool,
        keys: Keys,
        model: &InterferenceModel,
        demand: &TaskDemand<'_>,
        search: &mut PlacementSearch,
    ) where
        Keys: Iterator<Item = WorkerKey>,
    {
        let mut scored = 0;
        for key in keys {
            match self.score(pool.worker(key), model, demand) {
                Some(score) => search.offer(score, key),
                None => {
                    search.record_reason(WaitReason::Interference);
                    continue;
                }
            }
            scored += 1;
            if scored >= MAX_SCORED_WORKERS {
                return;
            }
        }
    }

    /// Returns a worker's score, lower being better, or `None` if interference with its services
    /// excludes the task.
    fn score(
        &self,
        worker: &PoolWorker,
        model: &InterferenceModel,
        demand: &TaskDemand<'_>,
    ) -> Option<f64> {
        let interference = match self.avoids_interference {
            true => interference_cost(worker, model, demand)?,
            false => 0.0,
        };
        let free_share = free_share_after(worker, demand);
        match demand.kind {
            ClassKind::Service => Some(interference - free_share),
            ClassKind::Batch => Some(interference + free_share),
        }
    }
}

fn interference_cost(
    worker: &PoolWorker,
    model: &InterferenceModel,
    demand: &TaskDemand<'_>,
) -> Option<f64> {
    let interference =
        model.added_interference(worker, demand.class, demand.kind, demand.urgent)?;
    match (worker.services_slowed, demand.kind) {
        (true, ClassKind::Batch) if model.may_interfere(worker, demand.class) => None,
        (true, _) => Some(interference + SLOWED_SERVICES_PENALTY),
        (false, _) => Some(interference),
    }
}

fn fits(worker: &PoolWorker, demand: &TaskDemand<'_>) -> bool {
    demand.size.fits_in(worker.free_capacity()) && !demand.failed_on.contains(&worker.name)
}

fn free_share_after(worker: &PoolWorker, demand: &TaskDemand<'_>) -> f64 {
    let remaining = worker.free_capacity().saturating_sub(demand.size);
    let cpu = remaining.cpu_millis as f64 / worker.capacity.cpu_millis.max(1) as f64;
    let memory = remaining.memory_mib as f64 / worker.capacity.memory_mib.max(1) as f64;
    (cpu + memory) / 2.0
}

fn job_tasks_in_domain(demand: &TaskDemand<'_>, domain: &DomainName) -> u32 {
    let found = demand
        .job_tasks_by_domain
        .iter()
        .find(|(name, _)| name == domain);
    found.map_or(0, |(_, count)| *count)
}

fn closed_domain_reason(domain: &PoolDomain, demand: &TaskDemand<'_>) -> WaitReason {
    let has_capacity = domain
        .free_capacity
        .emptiest_first(demand.size)
        .next()
        .is_some();
    match has_capacity {
        true => WaitReason::DomainUnavailable,
        false => WaitReason::NoFreeCapacity,
    }
}
