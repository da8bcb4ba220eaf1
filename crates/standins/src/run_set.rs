//! The runs in progress on a stand-in worker, and how fast they go.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_ports::TaskAttempt;

use crate::{
    WorkerKnobs,
    usage_lag::UsageLag,
    worker_run::WorkerRun, //
};

/// The runs in progress on a stand-in worker, and how fast they go.
#[derive(Debug, Default)]
pub(crate) struct RunSet {
    runs: IndexMap<TaskAttempt, WorkerRun>,
    /// The moment that the runs' progress was counted up to.
    settled: Duration,
}

impl RunSet {
    pub(crate) fn runs(&self) -> impl Iterator<Item = &WorkerRun> {
        self.runs.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn contains(&self, attempt: TaskAttempt) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Tells whether some run of this run's task is in progress.
    pub(crate) fn has_task(&self, attempt: TaskAttempt) -> bool {
        let task = (attempt.job, attempt.index);
        self.runs()
            .any(|run| (run.attempt.job, run.attempt.index) == task)
    }

    pub(crate) fn get(&self, attempt: TaskAttempt) -> Option<&WorkerRun> {
        self.runs.get(&attempt)
    }

    pub(crate) fn get_mut(&mut self, attempt: TaskAttempt) -> Option<&mut WorkerRun> {
        self.runs.get_mut(&attempt)
    }

    pub(crate) fn insert(&mut self, run: WorkerRun) {
        self.runs.insert(run.attempt, run);
    }

    pub(crate) fn remove(&mut self, attempt: TaskAttempt) -> Option<WorkerRun> {
        self.runs.shift_remove(&attempt)
    }

    pub(crate) fn clear(&mut self) {
        self.runs.clear();
    }

    pub(crate) fn reserved(&self) -> ResourceAmount {
        self.runs()
            .map(|run| run.reserved)
            .fold(ResourceAmount::default(), |sum, part| sum + part)
    }

    /// Returns the run that ends next by itself, and when.
    pub(crate) fn next_end(&self, knobs: &WorkerKnobs) -> Option<(Duration, TaskAttempt)> {
        let ends = self.runs().filter_map(|run| {
            let at = run.ends_at(self.settled, self.slowdown(run, knobs))?;
            Some((at, run.attempt))
        });
        ends.min_by_key(|(at, _)| *at)
    }

    /// Counts the runs' progress up to `now`, at the speeds that they have gone at since.
    pub(crate) fn advance(&mut self, now: Duration, knobs: &WorkerKnobs) {
        let step = now.saturating_sub(self.settled);
        let slowdowns = self.slowdowns(knobs);
        for (run, slowdown) in self.runs.values_mut().zip(slowdowns) {
            run.advance(step, slowdown);
        }
        self.settled = self.settled.max(now);
    }

    /// Measures the runs whose turn it is.
    pub(crate) fn measure(&mut self, now: Duration, knobs: &WorkerKnobs, usage: &mut UsageLag) {
        let slowdowns = self.slowdowns(knobs);
        for (run, slowdown) in self.runs.values_mut().zip(slowdowns) {
            if now.saturating_sub(run.measured) >= knobs.usage_period {
                run.measured = now;
                usage.measure(now, run, slowdown, knobs.usage_lag);
            }
        }
    }

    fn slowdowns(&self, knobs: &WorkerKnobs) -> Vec<f64> {
        self.runs().map(|run| self.slowdown(run, knobs)).collect()
    }

    /// Returns how many times as long as alone a run takes now.
    fn slowdown(&self, run: &WorkerRun, knobs: &WorkerKnobs) -> f64 {
        let load = f64::from(knobs.load_millis) / 1000.0;
        let neighbours = self.runs().filter(|other| other.attempt != run.attempt);
        let added: f64 = neighbours
            .map(|other| {
                let model = &knobs.interference;
                model.added(&run.class, &other.class, other.speed_millis)
            })
            .sum();
        1.0 + added * load
    }
}
