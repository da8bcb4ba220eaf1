//! Which long-running jobs are taken in.

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
    WorkKind, //
};

/// The times after which a caller that was refused is told to come back.
const SOONEST_BACK: Duration = Duration::from_secs(1);
const LATEST_BACK: Duration = Duration::from_secs(60);
/// When it is told to come back while no long-running job was seen to end.
const USUAL_BACK: Duration = Duration::from_secs(10);
/// How long what a former owner granted may take to be on record.
const FORMER_GRANTS: Duration = Duration::from_secs(2);
/// The time for which ends of long-running jobs are taken to have been seen at least.
const LEAST_SEEN: Duration = Duration::from_secs(10);

impl Dispatcher {
    /// Decides whether a job is taken in. A long-running job stays for good: one that took the processors that short work
    /// needs would make every later short job wait until some other left.
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
        let short_need = self.short_demand.need(now);
        let promised = self.waiting_long_running(&pool) + self.grants.total(now);
        let room = self.unpromised_room(&pool, now).saturating_sub(promised);
        if room >= short_need + demand {
            self.grants.grant(key, demand, now);
            return Admission::Granted;
        }
        Admission::Refused(RoomShortage {
            demand,
            room,
            short_need,
            back: self.back_in(short_need + demand - room, now),
        })
    }

    /// Tells whether no grant of a former owner may be on its way to the record.
    fn knows_grants(&self, now: Duration) -> bool {
        self.token <= 1
            || self
                .acting_since
                .is_some_and(|since| now >= since + FORMER_GRANTS)
    }

    /// Returns the processors of a pool beside what long-running tasks hold, in thousandths, as far as short tasks of the
    /// usual size fit there. A worker that is silent for a moment counts.
    fn unpromised_room(&self, pool: &Arc<str>, now: Duration) -> u64 {
        let size = self.short_demand.usual_size(now);
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

    /// Returns the processors that long-running tasks without a run wait for, in thousandths.
    fn waiting_long_running(&self, pool: &Arc<str>) -> u64 {
        let pending = self.open.iter().map(|&step| {
            let job = self.jobs.get(&step.job)?;
            let spec = job.graph.steps.get(usize::from(step.step))?;
            let state = job.step(step.occurrence, step.step)?;
            let rule = self.rules.get(&job.queue)?;
            let counts = spec.kind() == WorkKind::LongRunning && rule.pool == *pool;
            let tasks = state.tasks.iter().filter(|task| task.is_pending());
            // CAST: A step has at most 20,000 tasks.
            counts.then(|| tasks.count() as u64 * spec.size.cpu_millis)
        });
        pending.flatten().sum()
    }

    /// Returns when this many processors, in thousandths, should have become free, by the rate at which long-running jobs
    /// end.
    fn back_in(&self, missing: u64, now: Duration) -> Duration {
        let rate = self.released.rate(now, LEAST_SEEN);
        if rate <= 0.0 {
            return USUAL_BACK;
        }
        // CAST: Exact up to 2^53 thousandths of a processor.
        let seconds = (missing as f64 / rate).min(LATEST_BACK.as_secs_f64());
        Duration::from_secs_f64(seconds).max(SOONEST_BACK)
    }

    /// Takes note that a job is over: what its long-running tasks held becomes free.
    pub(crate) fn note_released(&mut self, graph: &JobGraph, now: Duration) {
        let released = long_running_cpu(graph);
        if released > 0 {
            // CAST: Exact up to 2^53 thousandths of a processor.
            self.released.add(released as f64, now);
        }
    }
}

/// Returns the processors that a job's long-running tasks set aside, in thousandths.
fn long_running_cpu(graph: &JobGraph) -> u64 {
    let steps = graph.steps.iter();
    let lasting = steps.filter(|step| step.kind() == WorkKind::LongRunning);
    lasting
        .map(|step| u64::from(step.count).saturating_mul(step.size.cpu_millis))
        .fold(0, u64::saturating_add)
}
