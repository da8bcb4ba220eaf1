//! Demands for which no worker had room.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;

use crate::StepSpec;

/// How long it is believed that no worker has room but those that have changed since: what is learned of
/// services, and what ends by time alone, opens others without a sign of their own.
const BELIEVED: Duration = Duration::from_millis(400);

/// What a task asks of its worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskDemand {
    pub(crate) pool: Arc<str>,
    pub(crate) reserved: ResourceAmount,
    /// What fills, with its image: it may harm services elsewhere than another.
    filler: Option<Option<Arc<str>>>,
    cpu: u64,
    /// Whether nothing but its size and its image speaks against a worker.
    is_plain: bool,
    /// Whether its worker wants to see a ticket.
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

    /// Tells whether who has no room for this has none for the other.
    fn covers(&self, other: &Self) -> bool {
        self.pool == other.pool
            && self.filler == other.filler
            && self.cpu <= other.cpu
            && self.reserved.fits_in(other.reserved)
    }
}

/// The demands for which no worker had room, each with the plan that found it so.
#[derive(Debug, Default)]
pub(crate) struct HopelessDemands {
    known: Vec<(TaskDemand, u64, Duration)>,
}

impl HopelessDemands {
    /// Takes note that no worker had room for a demand in this plan.
    pub(crate) fn note(&mut self, demand: &TaskDemand, plan: u64, now: Duration) {
        if !demand.is_plain {
            return;
        }
        // One that was seen by looking at changed workers alone is as old as the look at all of them.
        let looked = self.believed(demand, now).map_or(now, |(_, looked)| looked);
        self.known.retain(|(known, ..)| !demand.covers(known));
        self.known.push((demand.clone(), plan, looked));
    }

    /// Returns the last plan in which no worker had room for a demand, if that is still believed.
    pub(crate) fn last_plan(&self, demand: &TaskDemand, now: Duration) -> Option<u64> {
        self.believed(demand, now).map(|(plan, _)| plan)
    }

    /// Forgets what was found too long ago.
    pub(crate) fn forget(&mut self, now: Duration) {
        self.known.retain(|(_, _, looked)| now < *looked + BELIEVED);
    }

    /// Forgets all: the rules have changed.
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
