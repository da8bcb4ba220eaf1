//! Measurements on their late way to the owner.

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
struct LateUsage {
    measured: Duration,
    due: Duration,
    usage: TaskUsage,
}

impl LateUsage {
    fn aged(self, now: Duration) -> TaskUsage {
        TaskUsage {
            age: now - self.measured,
            ..self.usage
        }
    }
}

/// Measurements on their late way to the owner; each lags by a time of its own.
#[derive(Debug)]
pub(crate) struct UsageLag {
    waiting: Vec<LateUsage>,
    /// When each run in progress was reported last.
    reported: IndexMap<TaskAttempt, Duration>,
    source: SmallRng,
}

impl UsageLag {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            waiting: Vec::new(),
            reported: IndexMap::new(),
            source: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.reported.clear();
    }

    pub(crate) fn measure(
        &mut self,
        now: Duration,
        run: &WorkerRun,
        slowdown: f64,
        (least, most): (Duration, Duration),
    ) {
        let lag = self.source.random_range(least..=most.max(least));
        let latency = run.payload.latency().mul_f64(slowdown);
        let usage = TaskUsage {
            attempt: run.attempt,
            used: run.payload.used.unwrap_or(run.reserved),
            latency_p99: (run.kind == ClassKind::Service).then_some(latency),
            progress_millis: run.progress_millis(),
            age: Duration::ZERO,
        };
        self.waiting.push(LateUsage {
            measured: now,
            due: now + lag,
            usage,
        });
    }

    /// Forgets when runs that are no longer in progress were reported.
    pub(crate) fn keep_running<Running>(&mut self, running: Running)
    where
        Running: Fn(TaskAttempt) -> bool,
    {
        self.reported.retain(|run, _| running(*run));
    }

    /// Hands out what is due by now. Of more than `limit`, the newest of each run stay: services
    /// first, whose latency cannot wait, then the runs longest unreported.
    pub(crate) fn due(&mut self, now: Duration, limit: usize) -> Vec<TaskUsage> {
        let mut due: Vec<LateUsage> = self
            .waiting
            .extract_if(.., |late| late.due <= now)
            .collect();
        if due.len() > limit {
            due = newest_of_each(due);
            due.sort_by_key(|late| {
                let run = late.usage.attempt;
                (
                    late.usage.latency_p99.is_none(),
                    self.reported.get(&run).copied(),
                )
            });
            self.waiting.extend(due.drain(limit.min(due.len())..));
        }
        for late in &due {
            self.reported.insert(late.usage.attempt, now);
        }
        due.into_iter().map(|late| late.aged(now)).collect()
    }
}

fn newest_of_each(due: Vec<LateUsage>) -> Vec<LateUsage> {
    let mut newest: IndexMap<TaskAttempt, LateUsage> = IndexMap::new();
    for late in due {
        let run = late.usage.attempt;
        if newest
            .get(&run)
            .is_none_or(|known| known.measured <= late.measured)
        {
            newest.insert(run, late);
        }
    }
    newest.into_values().collect()
}
