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
    worker_pool::PoolDomain, //
};

/// The workers with room that are compared in each failure domain.
const COMPARED: usize = 8;
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
        let mut best: Option<(u32, f64, WorkerKey)> = None;
        let mut reason = WaitReason::NoRoom;
        for (name, domain) in &pool.domains {
            if !domain.gate.admits(now) {
                reason = stronger(reason, domain_reason(domain, demand));
                continue;
            }
            let crowd = crowd_of(demand, name);
            let mut refused = false;
            let found = self.best_in(pool, domain, pairs, demand, &mut refused);
            if refused {
                reason = WaitReason::Interference;
            }
            if let Some((score, key)) = found {
                best = better(best, (crowd, score, key));
            }
        }
        best.map(|(_, _, key)| key).ok_or(reason)
    }

    fn best_in(
        &self,
        pool: &WorkerPool,
        domain: &PoolDomain,
        pairs: &PairModel,
        demand: &TaskDemand<'_>,
        refused: &mut bool,
    ) -> Option<(f64, WorkerKey)> {
        let cpu = demand.size.cpu_millis;
        let mut rate = |key| {
            let worker = pool.worker(key);
            if !fits(worker, demand) {
                return None;
            }
            let score = self.score(worker, pairs, demand);
            *refused |= score.is_none();
            score.map(|score| (score, key))
        };
        match demand.kind {
            ClassKind::Service => least(domain.index.emptiest_first(cpu).filter_map(&mut rate)),
            ClassKind::Batch => least(domain.index.fullest_first(cpu).filter_map(&mut rate)),
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

fn least<Rated>(rated: Rated) -> Option<(f64, WorkerKey)>
where
    Rated: Iterator<Item = (f64, WorkerKey)>,
{
    rated
        .take(COMPARED)
        .min_by(|left, right| left.0.total_cmp(&right.0))
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

fn better(
    best: Option<(u32, f64, WorkerKey)>,
    found: (u32, f64, WorkerKey),
) -> Option<(u32, f64, WorkerKey)> {
    match best {
        Some(held) if (held.0, held.1) <= (found.0, found.1) => Some(held),
        _ => Some(found),
    }
}

fn domain_reason(domain: &PoolDomain, demand: &TaskDemand<'_>) -> WaitReason {
    let has_room = domain
        .index
        .emptiest_first(demand.size.cpu_millis)
        .next()
        .is_some();
    match has_room {
        true => WaitReason::Domain,
        false => WaitReason::NoRoom,
    }
}

fn stronger(held: WaitReason, found: WaitReason) -> WaitReason {
    match held {
        WaitReason::Interference => held,
        _ if found == WaitReason::NoRoom => held,
        _ => found,
    }
}
