//! Placement of gangs, whose tasks start together or not at all.

use std::time::Duration;

use crate::{
    Dispatcher,
    StepKey,
    StepSpec,
    dispatcher_placement::{
        Placement,
        PlacementSearch,
        fits_labels, //
    }, //
};

/// How long other suspected tasks wait for a gang: longer than they keep workers free.
const TURN_LENGTH: Duration = Duration::from_millis(1500);
/// The time after a turn in vain in which no gang gets one, so that the other tasks start.
const TURN_PAUSE: Duration = Duration::from_millis(1500);

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
            self.isolation_turn.take_if(|(gang, _)| *gang == step);
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
        if self.is_losing_patience(step, pending, now) && self.has_places(step, spec, pending, now)
        {
            self.take_turn(step, now);
        }
        // A later member for which no worker is found proves nothing: the members before it held
        // capacity.
        if placed.is_empty() && !awaits_isolation && !search.is_starving {
            self.unplaceable
                .insert(&search.demand, self.plan_count, now);
        }
        Vec::new()
    }

    /// Returns whether suspected tasks of a step wait because it is another gang's turn to start.
    pub(crate) fn is_turn_of_other(&self, step: StepKey, now: Duration) -> bool {
        self.isolation_turn
            .is_some_and(|(gang, until)| gang != step && now < until)
    }

    /// Lets a suspected gang start before other suspected tasks, unless it is another gang's turn or a turn ended in vain a short
    /// time ago.
    fn take_turn(&mut self, step: StepKey, now: Duration) {
        let is_free = self
            .isolation_turn
            .is_none_or(|(_, until)| now >= until + TURN_PAUSE);
        if is_free {
            self.isolation_turn = Some((step, now + TURN_LENGTH));
        }
    }

    /// Returns whether the workers have room for all tasks of a gang, also where other tasks may not start now.
    fn has_places(&self, step: StepKey, spec: &StepSpec, pending: &[u32], now: Duration) -> bool {
        let job = self.jobs.get(&step.job);
        let Some(rule) = job.and_then(|job| self.queue_rules.get(&job.queue)) else {
            return false;
        };
        let size = spec.reserved();
        let workers = self.workers.iter();
        let suitable = workers
            .filter(|worker| self.is_usable(worker, &rule.pool, now) && fits_labels(worker, spec));
        let places = suitable.map(|worker| {
            let free = worker.free_capacity();
            let by_cpu = free.cpu_millis / size.cpu_millis.max(1);
            let by_memory = free.memory_mib / size.memory_mib.max(1);
            let by_spread = spec.max_per_worker.map_or(u64::MAX, u64::from);
            by_cpu.min(by_memory).min(by_spread)
        });
        places.fold(0, u64::saturating_add) >= pending.len() as u64
    }

    /// Returns whether a suspected member of a gang has waited so long that starts of other suspected tasks would keep it
    /// waiting beyond its patience.
    fn is_losing_patience(&self, step: StepKey, pending: &[u32], now: Duration) -> bool {
        let mut tasks = pending.iter().map(|&index| step.task(index));
        tasks.any(|task| {
            self.crash_history(task)
                .is_some_and(|crashes| crashes.is_losing_patience(now))
        })
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
