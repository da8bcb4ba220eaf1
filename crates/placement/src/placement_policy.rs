//! Where a task goes.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName, //
};

use crate::{
    PairModel,
    PoolWorker,
    TaskDemand,
    WaitReason,
    WorkerKey,
    WorkerPool,
    place_search::PlaceSearch,
    worker_pool::PoolDomain, //
};

/// The workers with room that are compared, and those that are looked at in each failure domain: the
/// fullest for packing, and some of the emptiest where services beside the fullest keep a task out.
const COMPARED: usize = 8;
const FULLEST: usize = 24;
const EMPTIEST: usize = 8;
/// How much worse a worker is whose services are slowed already.
const PRESSED: f64 = 1.0;

/// Where a task goes: only where it fits, where no service is slowed beyond its target, services
/// spread over failure domains, batch work packed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    minds_pairs: bool,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self { minds_pairs: true }
    }
}

impl PlacementPolicy {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether learned pairs count.
    pub fn with_pairs(mut self, minds_pairs: bool) -> Self {
        self.minds_pairs = minds_pairs;
        self
    }

    /// Chooses a worker for a task.
    ///
    /// # Errors
    ///
    /// Returns why none will do now.
    pub fn choose(
        &self,
        pool: &WorkerPool,
        pairs: &PairModel,
        demand: &TaskDemand<'_>,
        now: Duration,
    ) -> Result<WorkerKey, WaitReason> {
        let mut search = PlaceSearch::new();
        // Batch work takes the first good places that it finds; where the search begins goes round,
        // so that no failure domain fills first.
        let count = pool.domains.len();
        let first = pool.releases() as usize % count.max(1);
        for offset in 0..count {
            let Some((name, domain)) = pool.domains.get_index((first + offset) % count) else {
                continue;
            };
            if !domain.gate.admits(now) {
                search.note(domain_reason(domain, demand));
                continue;
            }
            search.crowd = crowd_of(demand, name);
            self.search_domain(pool, domain, pairs, demand, &mut search);
            if demand.kind == ClassKind::Batch && search.compared >= COMPARED {
                break;
            }
        }
        search.best.map(|(_, _, key)| key).ok_or(search.reason)
    }

    fn search_domain(
        &self,
        pool: &WorkerPool,
        domain: &PoolDomain,
        pairs: &PairModel,
        demand: &TaskDemand<'_>,
        search: &mut PlaceSearch,
    ) {
        let fits = |key: &WorkerKey| fits(pool.worker(*key), demand);
        let emptiest = domain.index.emptiest_first(demand.size).filter(fits);
        let emptiest = emptiest.take(EMPTIEST);
        if demand.kind == ClassKind::Service {
            return self.rate(pool, emptiest, pairs, demand, search);
        }
        let fullest = domain.index.fullest_first(demand.size).filter(fits);
        self.rate(pool, fullest.take(FULLEST), pairs, demand, search);
        if search.compared == 0 {
            self.rate(pool, emptiest, pairs, demand, search);
        }
    }

    fn rate<Keys>(
        &self,
        pool: &WorkerPool,
        keys: Keys,
        pairs: &PairModel,
        demand: &TaskDemand<'_>,
        search: &mut PlaceSearch,
    ) where
        Keys: Iterator<Item = WorkerKey>,
    {
        let mut compared = 0;
        for key in keys {
            match self.score(pool.worker(key), pairs, demand) {
                Some(score) => search.take(score, key),
                None => {
                    search.note(WaitReason::Interference);
                    continue;
                }
            }
            compared += 1;
            if compared >= COMPARED {
                return;
            }
        }
    }

    /// The lower the better; `None` where a service would be slowed beyond its target.
    fn score(
        &self,
        worker: &PoolWorker,
        pairs: &PairModel,
        demand: &TaskDemand<'_>,
    ) -> Option<f64> {
        let harm = match self.minds_pairs {
            true => harm_of(worker, pairs, demand)?,
            false => 0.0,
        };
        let left = share_left(worker, demand);
        match demand.kind {
            ClassKind::Service => Some(harm - left),
            ClassKind::Batch => Some(harm + left),
        }
    }
}

fn harm_of(worker: &PoolWorker, pairs: &PairModel, demand: &TaskDemand<'_>) -> Option<f64> {
    let harm = pairs.harm(worker, demand.class, demand.kind, demand.urgent)?;
    match (worker.pressed, demand.kind) {
        (true, ClassKind::Batch) if pairs.may_hurt(worker, demand.class) => None,
        (true, _) => Some(harm + PRESSED),
        (false, _) => Some(harm),
    }
}

fn fits(worker: &PoolWorker, demand: &TaskDemand<'_>) -> bool {
    demand.size.fits_in(worker.room()) && !demand.failed_on.contains(&worker.name)
}

fn share_left(worker: &PoolWorker, demand: &TaskDemand<'_>) -> f64 {
    let room = worker.room().saturating_sub(demand.size);
    let cpu = room.cpu_millis as f64 / worker.capacity.cpu_millis.max(1) as f64;
    let memory = room.memory_mib as f64 / worker.capacity.memory_mib.max(1) as f64;
    (cpu + memory) / 2.0
}

fn crowd_of(demand: &TaskDemand<'_>, domain: &DomainName) -> u32 {
    let found = demand.spread.iter().find(|(name, _)| name == domain);
    found.map_or(0, |(_, count)| *count)
}

fn domain_reason(domain: &PoolDomain, demand: &TaskDemand<'_>) -> WaitReason {
    let has_room = domain.index.emptiest_first(demand.size).next().is_some();
    match has_room {
        true => WaitReason::Domain,
        false => WaitReason::NoRoom,
    }
}
