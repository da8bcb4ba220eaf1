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
const BELIEVED: Duration = Duration::from_millis(400);

/// The requirements of a task on its worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskDemand {
    pub(crate) pool: Arc<str>,
    pub(crate) reserved: ResourceAmount,
    /// For fillers, their image, if any: another image may harm other services. `None` for other
    /// tasks.
    filler: Option<Option<Arc<str>>>,
    cpu: u64,
    /// Whether only size and image decide which workers qualify; only such demands are cached.
    is_plain: bool,
    /// Whether the worker requires a ticket.
    pub(crate) ticketed: bool,
}

impl TaskDemand {
    pub(crate) fn new(spec: &StepSpec, pool: &Arc<str>, ticketed: bool) -> Self {
        Self {
            pool: Arc::clone(pool),
            reserved: spec.reserved(),
            filler: spec.filler.then(|| spec.image.clone()),
            cpu: spec.size.cpu_millis,
            is_plain: spec.label.is_none() && spec.spread.is_none() && !ticketed,
            ticketed,
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
pub(crate) struct HopelessDemands {
    known: Vec<(TaskDemand, u64, Duration)>,
}

impl HopelessDemands {
    /// Records that no worker had capacity for a demand in this plan.
    pub(crate) fn note(&mut self, demand: &TaskDemand, plan: u64, now: Duration) {
        if !demand.is_plain {
            return;
        }
        // A result from scanning only the changed workers keeps the time of the last full scan.
        let looked = self.believed(demand, now).map_or(now, |(_, looked)| looked);
        self.known.retain(|(known, ..)| !demand.covers(known));
        self.known.push((demand.clone(), plan, looked));
    }

    /// Returns the last plan in which no worker had capacity for a demand, unless that result has
    /// expired.
    pub(crate) fn last_plan(&self, demand: &TaskDemand, now: Duration) -> Option<u64> {
        self.believed(demand, now).map(|(plan, _)| plan)
    }

    /// Removes expired results.
    pub(crate) fn forget(&mut self, now: Duration) {
        self.known.retain(|(_, _, looked)| now < *looked + BELIEVED);
    }

    /// Removes all results, after a change of the configuration.
    pub(crate) fn clear(&mut self) {
        self.known.clear();
    }

    fn believed(&self, demand: &TaskDemand, now: Duration) -> Option<(u64, Duration)> {
        let covering = self
            .known
            .iter()
            .filter(|(known, _, looked)| known.covers(demand) && now < *looked + BELIEVED);
        covering
            .map(|(_, plan, looked)| (*plan, *looked))
            .max_by_key(|(plan, _)| *plan)
    }
}
