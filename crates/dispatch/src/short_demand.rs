//! How many processors short work needs.

use std::time::Duration;

use crate::{
    JobGraph,
    StepSpec,
    WorkKind,
    decaying_sum::DecayingSum, //
};

/// After how long an arrival counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// The time for which arrivals are taken to have been seen at least: a rate of fewer seconds is chance.
const LEAST_SEEN: Duration = Duration::from_secs(2);
/// How many standard deviations above its mean the need of short work is met.
const SPREADS: f64 = 2.0;
/// The factors between which declared run times are corrected.
const LEAST_CORRECTION: f64 = 0.25;
const LARGEST_CORRECTION: f64 = 4.0;

/// What a pool offers to short work at the most, in thousandths of a processor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSize {
    pub(crate) largest_worker: u64,
    pub(crate) all: u64,
}

/// How many processors short work needs, learned from what arrives: work that comes at this rate and holds processors for
/// this long holds this many on average, and as many more as its jobs are wide.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    /// Processors times seconds, as declared.
    work: DecayingSum,
    /// Squares of a step's processors times seconds, as declared.
    squares: DecayingSum,
    /// Squares of a task's processors times seconds, over all tasks, as declared.
    sizes: DecayingSum,
    /// What runs declared and what they took, in processors times seconds.
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
    /// Takes note of an occurrence of a job that arrived. What no worker can hold needs nothing, and no step needs more
    /// than the pool has.
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

    /// Takes note of how long a task that is done took.
    pub(crate) fn note_done(&mut self, step: &StepSpec, took: Duration, at: Duration) {
        if step.kind() != WorkKind::Short || step.estimate.is_zero() {
            return;
        }
        self.declared
            .add(millis(step) * step.estimate.as_secs_f64(), at);
        self.taken.add(millis(step) * took.as_secs_f64(), at);
    }

    /// Returns how many processors short work needs, in thousandths.
    pub(crate) fn need(&self, now: Duration) -> u64 {
        let correction = self.correction(now);
        let mean = self.work.rate(now, LEAST_SEEN) * correction;
        let variance = self.squares.rate(now, LEAST_SEEN) * correction;
        // CAST: It saturates.
        (mean + SPREADS * variance.sqrt()) as u64
    }

    /// Returns the processors of a usual task, in thousandths, the larger ones counted for more; at least 1.
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

    fn correction(&self, now: Duration) -> f64 {
        let declared = self.declared.total(now);
        if declared <= 0.0 {
            return 1.0;
        }
        (self.taken.total(now) / declared).clamp(LEAST_CORRECTION, LARGEST_CORRECTION)
    }
}

fn millis(step: &StepSpec) -> f64 {
    // CAST: Exact up to 2^53 thousandths of a processor.
    step.size.cpu_millis as f64
}
