//! Usage measurements that reach the owner with a random delay.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ClassKind;
use jasminebend_ports::{
    TaskAttempt,
    TaskUsage, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::worker_run::WorkerRun;

#[derive(Debug)]
struct DelayedUsage {
    measured_at: Duration,
    due_at: Duration,
    usage: TaskUsage,
}

impl DelayedUsage {
    /// Returns the measurement with its age at `now`.
    fn with_age(self, now: Duration) -> TaskUsage {
        TaskUsage {
            age: now - self.measured_at,
            ..self.usage
        }
    }
}

/// Usage measurements that wait to be reported. Each becomes due after its own random lag.
#[derive(Debug)]
pub(crate) struct UsageQueue {
    pending: Vec<DelayedUsage>,
    /// When a measurement of each run in progress was last reported.
    reported_at: IndexMap<TaskAttempt, Duration>,
    rng: SmallRng,
}

impl UsageQueue {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            pending: Vec::new(),
            reported_at: IndexMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.reported_at.clear();
    }

    /// Adds a measurement of a run, which becomes due after a random lag between `least` and `most`.
    pub(crate) fn measure(
        &mut self,
        now: Duration,
        run: &WorkerRun,
        slowdown: f64,
        (least, most): (Duration, Duration),
    ) {
        let lag = self.rng.random_range(least..=most.max(least));
        let latency = run.payload.latency().mul_f64(slowdown);
        let usage = TaskUsage {
            attempt: run.attempt,
            used: run.payload.used.unwrap_or(run.reserved),
            latency_p99: (run.kind == ClassKind::Service).then_some(latency),
            progress_millis: run.progress_millis(),
            age: Duration::ZERO,
        };
        self.pending.push(DelayedUsage {
            measured_at: now,
            due_at: now + lag,
            usage,
        });
    }

    /// Removes the report times of runs that are no longer in progress.
    pub(crate) fn retain_running<Running>(&mut self, running: Running)
    where
        Running: Fn(TaskAttempt) -> bool,
    {
        self.reported_at.retain(|run, _| running(*run));
    }

    /// Removes and returns the measurements that are due at `now`, at most `limit`. If more are due, only the newest of
    /// each run is kept. Services come first, because their latency is urgent, then the runs not reported for the
    /// longest time; the rest stays queued.
    pub(crate) fn take_due(&mut self, now: Duration, limit: usize) -> Vec<TaskUsage> {
        let mut due: Vec<DelayedUsage> = self
            .pending
            .extract_if(.., |delayed| delayed.due_at <= now)
            .collect();
        if due.len() > limit {
            due = newest_of_each_run(due);
            due.sort_by_key(|delayed| {
                let run = delayed.usage.attempt;
                (
                    delayed.usage.latency_p99.is_none(),
                    self.reported_at.get(&run).copied(),
                )
            });
            self.pending.extend(due.drain(limit.min(due.len())..));
        }
        for delayed in &due {
            self.reported_at.insert(delayed.usage.attempt, now);
        }
        due.into_iter()
            .map(|delayed| delayed.with_age(now))
            .collect()
    }
}

fn newest_of_each_run(due: Vec<DelayedUsage>) -> Vec<DelayedUsage> {
    let mut newest: IndexMap<TaskAttempt, DelayedUsage> = IndexMap::new();
    for delayed in due {
        let run = delayed.usage.attempt;
        if newest
            .get(&run)
            .is_none_or(|known| known.measured_at <= delayed.measured_at)
        {
            newest.insert(run, delayed);
        }
    }
    newest.into_values().collect()
}
