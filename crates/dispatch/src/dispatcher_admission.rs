//! Admission control of long-running jobs.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Admission,
    CpuShortage,
    Dispatcher,
    JobGraph,
    JobKey,
    PolicyPart,
    WorkKind,
    pool_demand::PoolDemand,
    short_demand::PoolSize, //
};

/// The bounds of the time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The retry time while no long-running job has been seen to end.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The longest time that a former owner's grant may take to be on record.
const FORMER_GRANT_SETTLE_TIME: Duration = Duration::from_secs(2);
/// The minimum observation time assumed for the rate at which long-running jobs release CPU.
const MIN_RELEASE_OBSERVATION: Duration = Duration::from_secs(10);

impl Dispatcher {
    /// Decides whether to accept a job. A long-running job never ends by itself: if it took the CPU
    /// that short tasks need, every later short job would wait until some long-running job ended.
    pub fn admit(
        &mut self,
        key: JobKey,
        queue: &str,
        graph: &JobGraph,
        now: Duration,
    ) -> Admission {
        let requested = long_running_cpu(graph);
        let is_enabled = self.settings.switches.has(PolicyPart::Admission);
        let already_accepted = self.jobs.contains_key(&key) || self.grants.contains(key, now);
        if requested == 0
            || !is_enabled
            || already_accepted
            || !self.former_grants_have_settled(now)
        {
            return Admission::Granted;
        }
        let Some(rule) = self.queue_rules.get(queue) else {
            return Admission::Granted;
        };
        let pool = Arc::clone(&rule.pool);
        let demands = self.pool_demands.entry(Arc::clone(&pool)).or_default();
        let short_task_need = demands.short.required_cpu(now);
        let task_cpu = demands.short.typical_task_cpu(now);
        let waiting = self.waiting_long_running_cpu(&pool);
        let promised_cpu = waiting.saturating_add(self.grants.total(now));
        let available = self
            .unpromised_cpu(&pool, task_cpu)
            .saturating_sub(promised_cpu);
        let required = short_task_need.saturating_add(requested);
        if available >= required {
            self.grants.grant(key, requested, now);
            return Admission::Granted;
        }
        Admission::Refused(CpuShortage {
            requested,
            available,
            short_task_need,
            retry_after: self.retry_after(&pool, required - available, now),
        })
    }

    /// Returns whether every grant of a former owner must be on record by now.
    fn former_grants_have_settled(&self, now: Duration) -> bool {
        self.former_token().is_none()
            || self
                .first_plan_at
                .is_some_and(|since| now >= since + FORMER_GRANT_SETTLE_TIME)
    }

    /// Returns the CPU of a pool that long-running tasks do not hold, in millicores, counted only
    /// as far as short tasks of the usual size fit. A worker that is silent for a moment counts.
    fn unpromised_cpu(&self, pool: &Arc<str>, task_cpu: u64) -> u64 {
        let staying_workers = self.workers.iter().filter(|worker| {
            let record = &worker.record;
            let stays = worker.listed && !record.draining && !worker.in_maintenance;
            stays && record.pool == *pool && !self.closed_domains.contains(&record.domain)
        });
        let unpromised = staying_workers.map(|worker| {
            let capacity = worker.record.capacity.cpu_millis;
            capacity.saturating_sub(worker.long_running_cpu) / task_cpu * task_cpu
        });
        unpromised.sum()
    }

    /// Returns the CPU that long-running tasks without a run wait for, in millicores.
    fn waiting_long_running_cpu(&self, pool: &Arc<str>) -> u64 {
        let pending = self.pending_steps.iter().map(|&step| {
            let job = self.jobs.get(&step.job)?;
            let spec = job.graph.steps.get(usize::from(step.step))?;
            let state = job.step(step.occurrence, step.step)?;
            let rule = self.queue_rules.get(&job.queue)?;
            let is_counted = spec.kind() == WorkKind::LongRunning && rule.pool == *pool;
            let tasks = state.tasks.iter().filter(|task| task.is_pending());
            // CAST: A step has at most 20,000 tasks.
            is_counted.then(|| spec.size.cpu_millis.saturating_mul(tasks.count() as u64))
        });
        pending.flatten().fold(0, u64::saturating_add)
    }

    /// Returns the time in which `missing` millicores should become free, given the rate at which
    /// long-running jobs end.
    fn retry_after(&self, pool: &Arc<str>, missing: u64, now: Duration) -> Duration {
        let demand = self.pool_demands.get(pool);
        let rate = demand.map_or(0.0, |demand| {
            demand.released.rate(now, MIN_RELEASE_OBSERVATION)
        });
        if rate <= 0.0 {
            return DEFAULT_RETRY_AFTER;
        }
        // CAST: Exact up to 2^53 millicores.
        let seconds = (missing as f64 / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Duration::from_secs_f64(seconds).max(MIN_RETRY_AFTER)
    }

    /// Records that a job is over and the CPU of its long-running tasks becomes free.
    pub(crate) fn record_released_cpu(
        &mut self,
        queue: &Arc<str>,
        graph: &JobGraph,
        now: Duration,
    ) {
        let released = long_running_cpu(graph);
        if released > 0
            && let Some(demand) = self.demand_mut(queue)
        {
            // CAST: Exact up to 2^53 millicores.
            demand.released.add(released as f64, now);
        }
    }

    /// Records the arrival of a job's occurrence in the demand of its pool.
    pub(crate) fn record_arrival(&mut self, queue: &Arc<str>, graph: &JobGraph, at: Duration) {
        let Some(rule) = self.queue_rules.get(queue) else {
            return;
        };
        let mut size = PoolSize::default();
        let workers = self.workers.iter().filter(|worker| worker.listed);
        for worker in workers.filter(|worker| worker.record.pool == rule.pool) {
            let capacity = worker.record.capacity.cpu_millis;
            size.largest_worker = size.largest_worker.max(capacity);
            size.all = size.all.saturating_add(capacity);
        }
        if let Some(demand) = self.demand_mut(queue) {
            demand.short.record_arrival(graph, size, at);
        }
    }

    /// Returns the demand statistics of a queue's pool, or `None` if the queue is unknown.
    pub(crate) fn demand_mut(&mut self, queue: &Arc<str>) -> Option<&mut PoolDemand> {
        let pool = Arc::clone(&self.queue_rules.get(queue)?.pool);
        Some(self.pool_demands.entry(pool).or_default())
    }
}

/// Returns the CPU that a job's long-running tasks reserve, in millicores.
fn long_running_cpu(graph: &JobGraph) -> u64 {
    let steps = graph.steps.iter();
    let long_running = steps.filter(|step| step.kind() == WorkKind::LongRunning);
    long_running
        .map(|step| u64::from(step.count).saturating_mul(step.size.cpu_millis))
        .fold(0, u64::saturating_add)
}
