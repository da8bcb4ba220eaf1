//! Estimate of the CPU that short tasks need.

use std::time::Duration;

use crate::{
    JobGraph,
    StepSpec,
    WorkKind,
    decaying_sum::DecayingSum, //
};

/// The time after which an arrival counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// The minimum observation time assumed for arrival rates: a rate over fewer seconds is mostly
/// chance.
const LEAST_SEEN: Duration = Duration::from_secs(2);
/// The number of standard deviations above the mean up to which the need of short tasks is met.
const SPREADS: f64 = 2.0;
/// The bounds of the factor by which declared run times are corrected.
const LEAST_CORRECTION: f64 = 0.25;
const LARGEST_CORRECTION: f64 = 4.0;

/// Upper bounds of the CPU that a pool offers to short tasks, in millicores.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSize {
    pub(crate) largest_worker: u64,
    pub(crate) all: u64,
}

/// Estimates the CPU that short tasks need from the jobs that arrive: the mean is the arrival rate
/// times the run time times the CPU (Little's law), and the variance grows with the width of the
/// jobs.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    /// The sum of CPU times seconds over all steps, as declared, in millicores.
    work: DecayingSum,
    /// The sum of a step's squared CPU times seconds, as declared.
    squares: DecayingSum,
    /// The sum of a task's squared CPU times seconds over all tasks, as declared.
    sizes: DecayingSum,
    /// The CPU times seconds that completed runs declared, and that they took.
    declared: DecayingSum,
    taken: DecayingSum,
}

impl Default for ShortDemand {
    fn default() -> Self {
        let sum = DecayingSum::new(HALF_LIFE);
        Self {
            work: sum,
            squares: sum,
            sizes: sum,
            declared: sum,
            taken: sum,
        }
    }
}

impl ShortDemand {
    /// Records the arrival of a job's occurrence. A task that no worker can hold counts as no need,
    /// and no step counts for more than the pool has.
    pub(crate) fn note_arrival(&mut self, graph: &JobGraph, pool: PoolSize, at: Duration) {
        let short = graph.steps.iter();
        let able = short.filter(|step| {
            step.kind() == WorkKind::Short && step.size.cpu_millis <= pool.largest_worker
        });
        for step in able {
            let size = millis(step);
            // CAST: Exact up to 2^53 thousandths of a processor.
            let all = (size * f64::from(step.count)).min(pool.all as f64);
            let seconds = step.estimate.as_secs_f64();
            self.work.add(all * seconds, at);
            self.squares.add(all * all * seconds, at);
            self.sizes.add(all * size * seconds, at);
        }
    }

    /// Records how long a completed task took.
    pub(crate) fn note_done(&mut self, step: &StepSpec, took: Duration, at: Duration) {
        if step.kind() != WorkKind::Short || step.estimate.is_zero() {
            return;
        }
        self.declared
            .add(millis(step) * step.estimate.as_secs_f64(), at);
        self.taken.add(millis(step) * took.as_secs_f64(), at);
    }

    /// Returns the CPU that short tasks need, in millicores.
    pub(crate) fn need(&self, now: Duration) -> u64 {
        let correction = self.correction(now);
        let mean = self.work.rate(now, LEAST_SEEN) * correction;
        let variance = self.squares.rate(now, LEAST_SEEN) * correction;
        // CAST: It saturates.
        (mean + SPREADS * variance.sqrt()) as u64
    }

    /// Returns the mean CPU of a task in millicores, weighted by CPU times run time; at least 1.
    pub(crate) fn usual_size(&self, now: Duration) -> u64 {
        let work = self.work.total(now);
        let size = if work > 0.0 {
            self.sizes.total(now) / work
        } else {
            0.0
        };
        // CAST: It saturates.
        (size as u64).max(1)
    }

    /// Returns the ratio of actual to declared run times.
    fn correction(&self, now: Duration) -> f64 {
        let declared = self.declared.total(now);
        if declared <= 0.0 {
            return 1.0;
        }
        (self.taken.total(now) / declared).clamp(LEAST_CORRECTION, LARGEST_CORRECTION)
    }
}

/// Returns the CPU of one of a step's tasks, in millicores.
fn millis(step: &StepSpec) -> f64 {
    // CAST: Exact up to 2^53 thousandths of a processor.
    step.size.cpu_millis as f64
}
