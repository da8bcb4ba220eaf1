//! The runs in progress on a stand-in worker, with their progress.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_ports::TaskAttempt;

use crate::{
    WorkerSettings,
    usage_queue::UsageQueue,
    worker_run::WorkerRun, //
};

/// The runs in progress on a stand-in worker, with their progress. Interference between them sets their speed.
#[derive(Debug, Default)]
pub(crate) struct RunSet {
    runs: IndexMap<TaskAttempt, WorkerRun>,
    /// The time up to which the runs' progress is computed.
    advanced_to: Duration,
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

    /// Returns whether any run of this run's task is in progress.
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

    /// Returns the time and the run of the next completion.
    pub(crate) fn next_completion(
        &self,
        settings: &WorkerSettings,
    ) -> Option<(Duration, TaskAttempt)> {
        let completions = self.runs().filter_map(|run| {
            let at = run.completes_at(self.advanced_to, self.slowdown(run, settings))?;
            Some((at, run.attempt))
        });
        completions.min_by_key(|(at, _)| *at)
    }

    /// Advances the runs' progress to `now`, at their current speeds.
    pub(crate) fn advance(&mut self, now: Duration, settings: &WorkerSettings) {
        let step = now.saturating_sub(self.advanced_to);
        let slowdowns = self.slowdowns(settings);
        for (run, slowdown) in self.runs.values_mut().zip(slowdowns) {
            run.advance(step, slowdown);
        }
        self.advanced_to = self.advanced_to.max(now);
    }

    /// Measures the resource usage of each run whose last measurement is at least `usage_period` old.
    pub(crate) fn measure(
        &mut self,
        now: Duration,
        settings: &WorkerSettings,
        usage: &mut UsageQueue,
    ) {
        let slowdowns = self.slowdowns(settings);
        for (run, slowdown) in self.runs.values_mut().zip(slowdowns) {
            if now.saturating_sub(run.measured_at) >= settings.usage_period {
                run.measured_at = now;
                usage.measure(now, run, slowdown, settings.usage_lag);
            }
        }
    }

    fn slowdowns(&self, settings: &WorkerSettings) -> Vec<f64> {
        self.runs()
            .map(|run| self.slowdown(run, settings))
            .collect()
    }

    /// Returns the factor by which interference lengthens a run now; 1 is no interference.
    fn slowdown(&self, run: &WorkerRun, settings: &WorkerSettings) -> f64 {
        let load = f64::from(settings.load_millis) / 1000.0;
        let neighbours = self.runs().filter(|other| other.attempt != run.attempt);
        let added_share: f64 = neighbours
            .map(|other| {
                let model = &settings.interference;
                model.added_share(&run.class, &other.class, other.speed_millis)
            })
            .sum();
        1.0 + added_share * load
    }
}
