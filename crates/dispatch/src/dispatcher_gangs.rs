//! Placement of gangs, whose tasks start together or not at all.

use std::time::Duration;

use crate::{
    Dispatcher,
    StepKey,
    StepSpec,
    dispatcher_placement::{
        Placement,
        PlacementSearch, //
    }, //
};

impl Dispatcher {
    /// Places all pending tasks of a gang. Returns nothing, and leaves no trace on the workers but
    /// announcements, unless each task has a worker and may start there now.
    pub(crate) fn place_gang(
        &mut self,
        step: StepKey,
        spec: &StepSpec,
        pending: &[u32],
        search: PlacementSearch,
        now: Duration,
    ) -> Vec<Placement> {
        let search = PlacementSearch {
            shares_isolation: !self.needs_isolation(step, pending, now),
            ..search
        };
        let run = self.next_run();
        let mut placed = Vec::with_capacity(pending.len());
        for &index in pending {
            let task = step.task(index);
            let Some(worker) = self.find_worker(task, spec, &search, now) else {
                break;
            };
            placed.push(self.place_run(task, worker, run, spec, now));
        }
        let is_whole = placed.len() == pending.len();
        if is_whole && placed.iter().all(|placement| self.is_announced(placement)) {
            return placed;
        }
        for placement in placed.iter().rev() {
            self.undo_placement(placement, now);
        }
        if is_whole {
            for placement in &placed {
                self.may_start_on(placement.task, placement.worker, now);
            }
            return Vec::new();
        }
        let mut awaits_isolation = false;
        for &index in pending {
            awaits_isolation |= self.awaits_isolation(step.task(index), now);
        }
        // A later member for which no worker is found proves nothing: the members before it held
        // capacity.
        if placed.is_empty() && !awaits_isolation && !search.is_starving {
            self.unplaceable
                .insert(&search.demand, self.plan_count, now);
        }
        Vec::new()
    }

    /// Returns whether a suspected task of a step still needs a worker on which nothing else starts.
    fn needs_isolation(&self, step: StepKey, pending: &[u32], now: Duration) -> bool {
        let mut tasks = pending.iter().map(|&index| step.task(index));
        tasks.any(|task| {
            self.crash_history(task)
                .is_some_and(|crashes| crashes.needs_isolation(now))
        })
    }

    /// Returns whether a placed task may start now as far as announcements are concerned.
    fn is_announced(&self, placement: &Placement) -> bool {
        let worker = &self.worker(placement.worker).record.id;
        let committed = self.commits.committed_through();
        let crashes = self.crash_history(placement.task);
        crashes.is_some_and(|crashes| crashes.may_start_on(worker, committed))
    }
}
