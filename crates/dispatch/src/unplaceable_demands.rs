//! Cache of demands for which no worker had capacity.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;

use crate::StepSpec;

/// The lifetime of a cached result, measured from the last scan of all workers. Within it only
/// workers that have changed since are scanned; but capacity also becomes usable without such a
/// change, by what is learned of services and by the mere passing of time.
const NO_CAPACITY_CACHE_TTL: Duration = Duration::from_millis(400);

/// The requirements of a task on its worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskDemand {
    pub(crate) pool: Arc<str>,
    pub(crate) reserved: ResourceAmount,
    /// For fillers, their image, if any: another image may harm other services. `None` for other
    /// tasks.
    filler: Option<Option<Arc<str>>>,
    /// The declared CPU in millicores, also of fillers.
    cpu: u64,
    /// Whether only size and image decide which workers qualify; only such demands are cached.
    is_cacheable: bool,
    /// Whether the worker requires a ticket.
    pub(crate) needs_ticket: bool,
}

impl TaskDemand {
    pub(crate) fn new(spec: &StepSpec, pool: &Arc<str>, needs_ticket: bool) -> Self {
        Self {
            pool: Arc::clone(pool),
            reserved: spec.reserved(),
            filler: spec.filler.then(|| spec.image.clone()),
            cpu: spec.size.cpu_millis,
            is_cacheable: spec.label.is_none() && spec.max_per_worker.is_none() && !needs_ticket,
            needs_ticket,
        }
    }

    /// Returns whether every worker without capacity for this demand also has none for the other.
    fn covers(&self, other: &Self) -> bool {
        self.pool == other.pool
            && self.filler == other.filler
            && self.cpu <= other.cpu
            && self.reserved.fits_in(other.reserved)
    }
}

/// Caches the demands for which no worker had capacity: each with the number of the plan that found
/// this and the time of the last scan of all workers.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableDemands {
    /// The demands, each with the plan that found no capacity and the time of the last full scan.
    entries: Vec<(TaskDemand, u64, Duration)>,
}

impl UnplaceableDemands {
    /// Records that no worker had capacity for a demand in this plan.
    pub(crate) fn insert(&mut self, demand: &TaskDemand, plan: u64, now: Duration) {
        if !demand.is_cacheable {
            return;
        }
        // A result from scanning only the changed workers keeps the time of the last full scan.
        let scanned_at = self
            .find_valid(demand, now)
            .map_or(now, |(_, scanned_at)| scanned_at);
        self.entries.retain(|(entry, ..)| !demand.covers(entry));
        self.entries.push((demand.clone(), plan, scanned_at));
    }

    /// Returns the last plan in which no worker had capacity for a demand, unless that result has
    /// expired.
    pub(crate) fn last_plan(&self, demand: &TaskDemand, now: Duration) -> Option<u64> {
        self.find_valid(demand, now).map(|(plan, _)| plan)
    }

    /// Removes expired results.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.entries
            .retain(|(_, _, scanned_at)| now < *scanned_at + NO_CAPACITY_CACHE_TTL);
    }

    /// Removes all results, after a change of the configuration.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the latest plan, and its last full scan, whose unexpired result also applies to this
    /// demand.
    fn find_valid(&self, demand: &TaskDemand, now: Duration) -> Option<(u64, Duration)> {
        let valid_entries = self.entries.iter().filter(|(entry, _, scanned_at)| {
            entry.covers(demand) && now < *scanned_at + NO_CAPACITY_CACHE_TTL
        });
        valid_entries
            .map(|(_, plan, scanned_at)| (*plan, *scanned_at))
            .max_by_key(|(plan, _)| *plan)
    }
}
