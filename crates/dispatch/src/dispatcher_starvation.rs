//! Placement of filler jobs that would starve because they interfere with services on every worker.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    PlanOutcome,
    StepKey,
    StepSpec,
    WorkKind,
    WorkerOrder,
    dispatcher_placement::PlacementSearch,
    job_state::{
        JobState,
        TaskState, //
    },
    unplaceable_demands::TaskDemand, //
};

/// The time that a filler job may be without a run while half of its pool's CPU is free.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time that a long-running filler may be without a run while others of its job run.
const TASK_STARVATION_TIMEOUT: Duration = Duration::from_millis(2000);
/// The minimum interval between two forced searches for such a job: each scans all workers.
const FORCED_SEARCH_INTERVAL: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Returns since when a step's job, or a long-running task of the step, has had no run, if the
    /// step is a filler and that time exceeds the starvation timeout; `None` otherwise or right
    /// after a forced search.
    pub(crate) fn starved_since(&self, step: StepKey, now: Duration) -> Option<Duration> {
        let job = self.jobs.get(&step.job)?;
        let spec = job.graph.steps.get(usize::from(step.step))?;
        let is_filler = spec.kind() == WorkKind::Filler;
        let searched_recently = job
            .step(step.occurrence, step.step)?
            .last_forced_search
            .is_some_and(|at| now < at + FORCED_SEARCH_INTERVAL);
        let (idle, timeout) = match (job.run_count, spec.long_running) {
            (0, _) => (job.idle_since, STARVATION_TIMEOUT),
            (_, true) => (
                job.waiting_since(step.occurrence, step.step),
                TASK_STARVATION_TIMEOUT,
            ),
            (_, false) => return None,
        };
        let idle = idle.max(job.occurrence_start(step.occurrence, self.clock_origin));
        let is_starving = now >= idle + timeout;
        (is_filler && is_starving && !searched_recently).then_some(idle)
    }

    /// Returns whether a gang is starved and half of its pool is free, so that it is placed where it
    /// interferes least.
    pub(crate) fn is_starving_gang(
        &mut self,
        step: StepKey,
        pool: &Arc<str>,
        now: Duration,
    ) -> bool {
        let is_gang = self.step_spec(step).is_some_and(|spec| spec.gang);
        if !is_gang || self.starved_since(step, now).is_none() {
            return false;
        }
        self.note_forced_search(step, now);
        self.is_half_free(pool, now)
    }

    fn note_forced_search(&mut self, step: StepKey, now: Duration) {
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.last_forced_search = Some(now);
        }
    }

    /// Starts one task of each starved job while half of its pool is free, on the worker where it
    /// interferes least; the job that has waited longest comes first. Services stay protected as
    /// from any filler: it is throttled, and evicted within seconds.
    pub(crate) fn start_starved_fillers(
        &mut self,
        starved: Vec<(Duration, StepKey)>,
        now: Duration,
        outcome: &mut PlanOutcome,
    ) {
        let mut starved = starved;
        starved.sort_unstable();
        for (_, step) in starved {
            if self.order_window.remaining() == 0 {
                return;
            }
            if self.starved_since(step, now).is_some() {
                outcome.orders.extend(self.start_starved_filler(step, now));
            }
        }
    }

    /// Starts one pending task of a starved step, if half of the pool is free and a worker
    /// qualifies.
    fn start_starved_filler(&mut self, step: StepKey, now: Duration) -> Option<WorkerOrder> {
        self.note_forced_search(step, now);
        let job = self.jobs.get(&step.job)?;
        let graph = Arc::clone(&job.graph);
        let spec = graph.steps.get(usize::from(step.step))?;
        let candidates = starved_tasks(job, spec, step);
        let rule = self.queue_rules.get(&job.queue)?;
        let pool = Arc::clone(&rule.pool);
        let search = PlacementSearch {
            demand: TaskDemand::new(spec, &pool, rule.advice.is_some()),
            profile: self.filler_profile(spec),
            is_starving: true,
            shares_isolation: false,
            last_failed_plan: None,
        };
        if !self.is_half_free(&pool, now) {
            return None;
        }
        for index in candidates {
            let task = step.task(index);
            let Some(worker) = self.find_worker(task, spec, &search, now) else {
                if self.awaits_isolation(task, now) {
                    continue;
                }
                return None;
            };
            if !self.may_start_on(task, worker, now) {
                continue;
            }
            let run = self.next_run();
            let placement = self.place_run(task, worker, run, spec, now);
            self.order_window.record_start_sent();
            let order = self.start_order(&placement, &graph.payload, false);
            return Some(WorkerOrder::Start(order));
        }
        None
    }

    /// Returns whether more than half of a pool's CPU is unreserved.
    fn is_half_free(&self, pool: &Arc<str>, now: Duration) -> bool {
        let usable = self.workers.iter();
        let usable = usable.filter(|worker| self.is_usable(worker, pool, now));
        let (free, all) = usable.fold((0u64, 0u64), |(free, all), worker| {
            let capacity = worker.record.capacity.cpu_millis;
            (free + worker.free_capacity().cpu_millis, all + capacity)
        });
        free * 2 > all
    }
}

/// Returns the tasks of a starved step for which a worker is searched, in that order: each
/// long-running one waits by itself, of others any may run first.
fn starved_tasks(job: &JobState, spec: &StepSpec, step: StepKey) -> Vec<u32> {
    let tasks = job
        .step(step.occurrence, step.step)
        .map(|state| &state.tasks);
    let pending = (0..).zip(tasks.into_iter().flatten());
    let mut pending: Vec<(u32, &TaskState)> =
        pending.filter(|(_, task)| task.is_pending()).collect();
    if spec.long_running {
        pending.sort_by_key(|(_, task)| job.task_waiting_since(task));
        return pending.into_iter().map(|(index, _)| index).collect();
    }
    let first = pending
        .into_iter()
        .min_by_key(|(_, task)| task.crashes.is_suspect());
    first.map(|(index, _)| index).into_iter().collect()
}
