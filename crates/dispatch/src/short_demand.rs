//! Estimate of the CPU that short tasks need.

use std::time::Duration;

use crate::{
    JobGraph,
    StepSpec,
    WorkKind,
    decaying_sum::DecayingSum, //
};

/// The time after which an arrival counts half.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(20);
/// The minimum observation time assumed for arrival rates: a rate over fewer seconds is mostly
/// chance.
const MIN_ARRIVAL_OBSERVATION: Duration = Duration::from_secs(2);
/// The number of standard deviations above the mean up to which the need of short tasks is met.
const NEED_DEVIATIONS: f64 = 2.0;
/// The bounds of the factor by which declared run times are corrected.
const MIN_RUN_TIME_CORRECTION: f64 = 0.25;
const MAX_RUN_TIME_CORRECTION: f64 = 4.0;

/// Upper bounds of the CPU that a pool offers to short tasks, in millicores.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSize {
    /// The CPU of the largest worker.
    pub(crate) largest_worker: u64,
    /// The CPU of all workers together.
    pub(crate) all: u64,
}

/// Estimates the CPU that short tasks need from the jobs that arrive: the mean is the arrival rate
/// times the run time times the CPU (Little's law), and the variance grows with the width of the
/// jobs.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    /// The sum over all steps of a step's CPU times its run time, as declared, in millicores times
    /// seconds.
    work: DecayingSum,
    /// The sum over all steps of the square of a step's CPU, times its declared run time in
    /// seconds.
    step_squares: DecayingSum,
    /// The sum over all tasks of the square of a task's CPU, times its declared run time in
    /// seconds.
    task_squares: DecayingSum,
    /// The sum over completed runs of CPU times declared run time, in millicores times seconds.
    declared: DecayingSum,
    /// The same sum with the run times that the runs took.
    taken: DecayingSum,
}

impl Default for ShortDemand {
    fn default() -> Self {
        let sum = DecayingSum::new(ARRIVAL_HALF_LIFE);
        Self {
            work: sum,
            step_squares: sum,
            task_squares: sum,
            declared: sum,
            taken: sum,
        }
    }
}

impl ShortDemand {
    /// Records the arrival of a job's occurrence. A task that no worker can hold counts as no need,
    /// and no step counts for more than the pool has.
    pub(crate) fn record_arrival(&mut self, graph: &JobGraph, pool: PoolSize, at: Duration) {
        let short = graph.steps.iter();
        let eligible = short.filter(|step| {
            step.kind() == WorkKind::Short && step.size.cpu_millis <= pool.largest_worker
        });
        for step in eligible {
            let task_cpu = task_cpu_millis(step);
            // CAST: Exact up to 2^53 millicores.
            let step_cpu = (task_cpu * f64::from(step.count)).min(pool.all as f64);
            let seconds = step.estimate.as_secs_f64();
            self.work.add(step_cpu * seconds, at);
            self.step_squares.add(step_cpu * step_cpu * seconds, at);
            self.task_squares.add(step_cpu * task_cpu * seconds, at);
        }
    }

    /// Records how long a completed task took.
    pub(crate) fn record_run_time(&mut self, step: &StepSpec, took: Duration, at: Duration) {
        if step.kind() != WorkKind::Short || step.estimate.is_zero() {
            return;
        }
        self.declared
            .add(task_cpu_millis(step) * step.estimate.as_secs_f64(), at);
        self.taken
            .add(task_cpu_millis(step) * took.as_secs_f64(), at);
    }

    /// Returns the CPU that short tasks need, in millicores.
    pub(crate) fn required_cpu(&self, now: Duration) -> u64 {
        let correction = self.correction(now);
        let mean = self.work.rate(now, MIN_ARRIVAL_OBSERVATION) * correction;
        let variance = self.step_squares.rate(now, MIN_ARRIVAL_OBSERVATION) * correction;
        // CAST: The conversion saturates.
        (mean + NEED_DEVIATIONS * variance.sqrt()) as u64
    }

    /// Returns the mean CPU of a task in millicores, weighted by CPU times run time; at least 1.
    pub(crate) fn typical_task_cpu(&self, now: Duration) -> u64 {
        let work = self.work.total(now);
        let size = if work > 0.0 {
            self.task_squares.total(now) / work
        } else {
            0.0
        };
        // CAST: The conversion saturates.
        (size as u64).max(1)
    }

    /// Returns the ratio of actual to declared run times.
    fn correction(&self, now: Duration) -> f64 {
        let declared = self.declared.total(now);
        if declared <= 0.0 {
            return 1.0;
        }
        (self.taken.total(now) / declared).clamp(MIN_RUN_TIME_CORRECTION, MAX_RUN_TIME_CORRECTION)
    }
}

/// Returns the CPU of one of a step's tasks, in millicores.
fn task_cpu_millis(step: &StepSpec) -> f64 {
    // CAST: Exact up to 2^53 millicores.
    step.size.cpu_millis as f64
}
