//! CPU usage of the dispatcher's pools.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;

use crate::{
    Dispatcher,
    PoolUsage, //
};

impl Dispatcher {
    /// Returns, for each pool, the CPU that each kind of work holds and the CPU that it waits for.
    pub fn pool_usage(&self, now: Duration) -> Vec<PoolUsage> {
        let mut pools: IndexMap<Arc<str>, PoolUsage> = IndexMap::new();
        for worker in &self.workers {
            let pool = &worker.record.pool;
            if !self.is_usable(worker, pool, now) {
                continue;
            }
            let used = pool_entry(&mut pools, pool);
            used.workers += 1;
            used.capacity += worker.record.capacity.cpu_millis;
            used.long_running.held += worker.long_running_cpu;
            used.short.held += worker.short_cpu();
            used.filler.held += worker.filler_cpu;
        }
        for step in &self.pending_steps {
            let Some(job) = self.jobs.get(&step.job) else {
                continue;
            };
            let spec = job.graph.steps.get(usize::from(step.step));
            let state = job.step(step.occurrence, step.step);
            let rule = self.queue_rules.get(&job.queue);
            if let (Some(spec), Some(state), Some(rule)) = (spec, state, rule) {
                let pending = state.tasks.iter().filter(|task| task.is_pending());
                // CAST: A step has at most 20,000 tasks.
                let wanted = spec.size.cpu_millis.saturating_mul(pending.count() as u64);
                let share = pool_entry(&mut pools, &rule.pool).share_mut(spec.kind());
                share.waiting = share.waiting.saturating_add(wanted);
            }
        }
        pools.into_values().collect()
    }
}

fn pool_entry<'a>(
    pools: &'a mut IndexMap<Arc<str>, PoolUsage>,
    pool: &Arc<str>,
) -> &'a mut PoolUsage {
    pools
        .entry(Arc::clone(pool))
        .or_insert_with(|| PoolUsage::new(Arc::clone(pool)))
}
