//! Placement of filler jobs that would starve because they interfere with services on every worker.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PlanOutcome,
    StepKey,
    WorkKind,
    WorkerOrder,
    dispatcher_plan::StepSearch,
    hopeless_demand::TaskDemand, //
};

/// The time that a filler job may be without a run while half of its pool's CPU is free.
const STARVED: Duration = Duration::from_millis(1000);
/// The minimum interval between two forced searches for such a job: each scans all workers.
const AGAIN: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Returns since when a step's job has had no run, if the step is a filler and that time
    /// exceeds the starvation timeout; `None` otherwise or right after a forced search.
    pub(crate) fn starved_since(&self, step: StepKey, now: Duration) -> Option<Duration> {
        let job = self.jobs.get(&step.job)?;
        let spec = job.graph.steps.get(usize::from(step.step))?;
        let fills = spec.kind() == WorkKind::Filler && !spec.gang;
        let looked = job.forced.is_some_and(|at| now < at + AGAIN);
        let idle = job
            .idle_since
            .max(job.begun(step.occurrence, self.clock_origin));
        let starves = job.running == 0 && now >= idle + STARVED;
        (fills && starves && !looked).then_some(idle)
    }

    /// Starts one task of each starved job while half of its pool is free, on the worker where it
    /// interferes least; the job that has waited longest comes first. Services stay protected as
    /// from any filler: it is throttled, and evicted within seconds.
    pub(crate) fn start_starved(
        &mut self,
        starved: Vec<(Duration, StepKey)>,
        now: Duration,
        outcome: &mut PlanOutcome,
    ) {
        let mut starved = starved;
        starved.sort_unstable();
        for (_, step) in starved {
            if self.window.room() == 0 {
                return;
            }
            if self.starved_since(step, now).is_some() {
                outcome.orders.extend(self.start_one(step, now));
            }
        }
    }

    /// Starts one pending task of a starved step, if half of the pool is free and a worker
    /// qualifies.
    fn start_one(&mut self, step: StepKey, now: Duration) -> Option<WorkerOrder> {
        let job = self.jobs.get_mut(&step.job)?;
        job.forced = Some(now);
        let graph = Arc::clone(&job.graph);
        let spec = graph.steps.get(usize::from(step.step))?;
        let state = job.step(step.occurrence, step.step)?;
        let index = state.tasks.iter().position(|task| task.is_pending())?;
        let rule = self.rules.get(&job.queue)?;
        let pool = Arc::clone(&rule.pool);
        let search = StepSearch {
            demand: TaskDemand::new(spec, &pool, rule.advice.is_some()),
            profile: self.filler_profile(spec),
            starves: true,
            tried: None,
        };
        if !self.is_half_free(&pool, now) {
            return None;
        }
        // CAST: A step has at most 20,000 tasks.
        let task = step.task(index as u32);
        let worker = self.find_place(task, spec, &search, now)?;
        let run = self.next_run();
        self.place(task, worker, run, spec, now);
        self.window.note_sent();
        let order = self.start_order(task, worker, run, &graph.payload, false);
        Some(WorkerOrder::Start(order))
    }

    /// Returns whether more than half of a pool's CPU is unreserved.
    fn is_half_free(&self, pool: &Arc<str>, now: Duration) -> bool {
        let usable = self.workers.iter();
        let usable = usable.filter(|worker| self.is_usable(worker, pool, now));
        let (free, all) = usable.fold((0u64, 0u64), |(free, all), worker| {
            let capacity = worker.record.capacity.cpu_millis;
            (free + worker.free().cpu_millis, all + capacity)
        });
        free * 2 > all
    }
}
