//! Admission control of long-running jobs.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Admission,
    Dispatcher,
    JobGraph,
    JobKey,
    PolicyPart,
    RoomShortage,
    WorkKind,
    pool_demand::PoolDemand,
    short_demand::PoolSize, //
};

/// The bounds of the time after which a refused caller is asked to retry.
const SOONEST_BACK: Duration = Duration::from_secs(1);
const LATEST_BACK: Duration = Duration::from_secs(60);
/// The retry time while no long-running job has been seen to end.
const USUAL_BACK: Duration = Duration::from_secs(10);
/// The longest time that a former owner's grant may take to be on record.
const FORMER_GRANTS: Duration = Duration::from_secs(2);
/// The minimum observation time assumed for the rate at which long-running jobs release CPU.
const LEAST_SEEN: Duration = Duration::from_secs(10);

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
        let demand = long_running_cpu(graph);
        let decides = self.settings.switches.has(PolicyPart::Admission);
        let known = self.jobs.contains_key(&key) || self.grants.holds(key, now);
        if demand == 0 || !decides || known || !self.knows_grants(now) {
            return Admission::Granted;
        }
        let Some(rule) = self.rules.get(queue) else {
            return Admission::Granted;
        };
        let pool = Arc::clone(&rule.pool);
        let demands = self.demands.entry(Arc::clone(&pool)).or_default();
        let short_need = demands.short.need(now);
        let short_size = demands.short.usual_size(now);
        let waiting = self.waiting_long_running(&pool);
        let promised = waiting.saturating_add(self.grants.total(now));
        let room = self
            .unpromised_room(&pool, short_size)
            .saturating_sub(promised);
        let wanted = short_need.saturating_add(demand);
        if room >= wanted {
            self.grants.grant(key, demand, now);
            return Admission::Granted;
        }
        Admission::Refused(RoomShortage {
            demand,
            room,
            short_need,
            back: self.back_in(&pool, wanted - room, now),
        })
    }

    /// Returns whether every grant of a former owner must be on record by now.
    fn knows_grants(&self, now: Duration) -> bool {
        self.token <= 1
            || self
                .acting_since
                .is_some_and(|since| now >= since + FORMER_GRANTS)
    }

    /// Returns the CPU of a pool that long-running tasks do not hold, in millicores, counted only
    /// as far as short tasks of the usual size fit. A worker that is silent for a moment counts.
    fn unpromised_room(&self, pool: &Arc<str>, size: u64) -> u64 {
        let expected = self.workers.iter().filter(|worker| {
            let record = &worker.record;
            let stays = worker.listed && !record.draining && !worker.upkeep;
            stays && record.pool == *pool && !self.closed.contains(&record.domain)
        });
        let rooms = expected.map(|worker| {
            let capacity = worker.record.capacity.cpu_millis;
            capacity.saturating_sub(worker.long_running_cpu) / size * size
        });
        rooms.sum()
    }

    /// Returns the CPU that long-running tasks without a run wait for, in millicores.
    fn waiting_long_running(&self, pool: &Arc<str>) -> u64 {
        let pending = self.open.iter().map(|&step| {
            let job = self.jobs.get(&step.job)?;
            let spec = job.graph.steps.get(usize::from(step.step))?;
            let state = job.step(step.occurrence, step.step)?;
            let rule = self.rules.get(&job.queue)?;
            let counts = spec.kind() == WorkKind::LongRunning && rule.pool == *pool;
            let tasks = state.tasks.iter().filter(|task| task.is_pending());
            // CAST: A step has at most 20,000 tasks.
            counts.then(|| spec.size.cpu_millis.saturating_mul(tasks.count() as u64))
        });
        pending.flatten().fold(0, u64::saturating_add)
    }

    /// Returns the time in which `missing` millicores should become free, given the rate at which
    /// long-running jobs end.
    fn back_in(&self, pool: &Arc<str>, missing: u64, now: Duration) -> Duration {
        let demand = self.demands.get(pool);
        let rate = demand.map_or(0.0, |demand| demand.released.rate(now, LEAST_SEEN));
        if rate <= 0.0 {
            return USUAL_BACK;
        }
        // CAST: Exact up to 2^53 thousandths of a processor.
        let seconds = (missing as f64 / rate).min(LATEST_BACK.as_secs_f64());
        Duration::from_secs_f64(seconds).max(SOONEST_BACK)
    }

    /// Records that a job is over and the CPU of its long-running tasks becomes free.
    pub(crate) fn note_released(&mut self, queue: &Arc<str>, graph: &JobGraph, now: Duration) {
        let released = long_running_cpu(graph);
        if released > 0
            && let Some(demand) = self.demand_mut(queue)
        {
            // CAST: Exact up to 2^53 thousandths of a processor.
            demand.released.add(released as f64, now);
        }
    }

    /// Records the arrival of a job's occurrence in the demand of its pool.
    pub(crate) fn note_arrival(&mut self, queue: &Arc<str>, graph: &JobGraph, at: Duration) {
        let Some(rule) = self.rules.get(queue) else {
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
            demand.short.note_arrival(graph, size, at);
        }
    }

    /// Returns the demand statistics of a queue's pool, or `None` if the queue is unknown.
    pub(crate) fn demand_mut(&mut self, queue: &Arc<str>) -> Option<&mut PoolDemand> {
        let pool = Arc::clone(&self.rules.get(queue)?.pool);
        Some(self.demands.entry(pool).or_default())
    }
}

/// Returns the CPU that a job's long-running tasks reserve, in millicores.
fn long_running_cpu(graph: &JobGraph) -> u64 {
    let steps = graph.steps.iter();
    let lasting = steps.filter(|step| step.kind() == WorkKind::LongRunning);
    lasting
        .map(|step| u64::from(step.count).saturating_mul(step.size.cpu_millis))
        .fold(0, u64::saturating_add)
}
