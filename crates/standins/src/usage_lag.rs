//! Measurements on their late way to the owner.

use std::time::Duration;

use jasminebend_base::ClassKind;
use jasminebend_ports::TaskUsage;
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

/// Measurements on their late way to the owner; each lags by a time of its own.
#[derive(Debug)]
pub(crate) struct UsageLag {
    waiting: Vec<LateUsage>,
    source: SmallRng,
}

impl UsageLag {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            waiting: Vec::new(),
            source: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
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

    /// Hands out what is due by now.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<TaskUsage> {
        self.waiting
            .extract_if(.., |late| late.due <= now)
            .map(|late| TaskUsage {
                age: now - late.measured,
                ..late.usage
            })
            .collect()
    }
}
